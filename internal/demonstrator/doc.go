// Package demonstrator runs a small system in one process over loopback sockets and checks every answer.
package demonstrator
