// Package admitter decides which requests run at one backend server and when.
//
// An Admitter does no I/O: its methods take events with the current time and return actions for its caller. It counts
// slots, limits the concurrency of a cold server and raises the limit step by step, orders a bounded queue by priority
// and deadline, refuses early what cannot be answered in time, detects a server that became cold without notice, and
// backs off from a server that sheds load. It is not safe for concurrent use; its caller serializes the events.
package admitter
