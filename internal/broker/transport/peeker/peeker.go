package peeker

import (
	"errors"
	"net"
	"syscall"
)

// State is what a connection has received.
type State uint8

// States of a connection.
const (
	// Unknown is the state of a connection that is no socket or has been closed here.
	Unknown State = iota
	// Quiet means that nothing has been received that has not been read.
	Quiet
	// Unread means that there are bytes to read.
	Unread
	// Ended means that the other side has closed the connection, or that it has failed.
	Ended
)

// Peek returns the state of a connection without blocking; a concurrent Read goes on.
func Peek(c net.Conn) State {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return Unknown
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return Unknown
	}
	state := Unknown
	err = raw.Control(func(fd uintptr) {
		var next [1]byte
		n, _, err := syscall.Recvfrom(int(fd), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EAGAIN):
			state = Quiet
		case err != nil || n == 0:
			state = Ended
		default:
			state = Unread
		}
	})
	if err != nil {
		return Unknown
	}
	return state
}
