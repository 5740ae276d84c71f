// Package testbed runs a whole system in one process over loopback sockets: stand-ins of the store and the backend
// servers, and real daemons. It also checks the guarantees of the system. The demo and the system tests use it.
package testbed
