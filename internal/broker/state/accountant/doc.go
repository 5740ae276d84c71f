// Package accountant owns the memory and the sockets that a process may be made to hold by callers and other hosts, and
// decides which of them gives way when there is no room.
package accountant
