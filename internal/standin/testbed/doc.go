// Package testbed runs stand-ins of the store and the backend servers and real daemons in one process over loopback
// sockets, and checks what they did. The demo and the tests of whole systems are built on it.
package testbed
