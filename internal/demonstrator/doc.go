// Package demonstrator runs a small system in one process over loopback sockets, injects faults, and checks every search
// answer and the bounds on reactions to changes.
package demonstrator
