// Package admitter decides which requests run at one backend server and when.
//
// An Admitter is a pure decision core: events and the time go in, actions come out. It counts slots, keeps the
// cold limit and its ramp, orders a bounded queue by priority and deadline, refuses early what cannot be answered
// in time, detects a server that has silently become cold, and backs off from a server that sheds load. It is not
// safe for concurrent use; its caller serializes events.
package admitter
