package linker

import (
	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
)

// ErrorKind says why something could not be done.
type ErrorKind string

// Kinds of errors.
const (
	// KindNoLink means that no link to the node is up.
	KindNoLink ErrorKind = "noLink"
	// KindQueueFull means that the queue of the link is full.
	KindQueueFull ErrorKind = "queueFull"
	// KindInvalid means a message that has no encoding or is too large.
	KindInvalid ErrorKind = "invalid"
	// KindCredentials means that the own identity could not be loaded.
	KindCredentials ErrorKind = "credentials"
	// KindUntrusted means that the certificate of the peer is missing, invalid or of another authority.
	KindUntrusted ErrorKind = "untrusted"
	// KindWrongNode means that the peer is not the node that it should be or says to be.
	KindWrongNode ErrorKind = "wrongNode"
	// KindDuplicate means that a link with precedence is up already.
	KindDuplicate ErrorKind = "duplicate"
	// KindUnreachable means that the connection could not be made.
	KindUnreachable ErrorKind = "unreachable"
	// KindListen means that the socket could not be opened.
	KindListen ErrorKind = "listen"
	// KindClosed means that the linker is closed.
	KindClosed ErrorKind = "closed"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	return "linker: could not " + e.Op + " (" + string(e.Kind) + "): " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

func failure(op string, kind ErrorKind, message string) error {
	return &Error{Op: op, Kind: kind, Err: errors.New(message)}
}

func wrap(op string, kind ErrorKind, err error) error {
	return &Error{Op: op, Kind: kind, Err: errors.WithStack(err)}
}

// kindOf returns the kind of an error of this package or of a connection that the peer closed, else
// KindUnreachable.
func kindOf(err error) ErrorKind {
	var known *Error
	if errors.As(err, &known) {
		return known.Kind
	}
	var transport *quic.TransportError
	if errors.As(err, &transport) && transport.ErrorCode.IsCryptoError() {
		return KindUntrusted
	}
	var application *quic.ApplicationError
	if errors.As(err, &application) {
		switch application.ErrorCode {
		case codeRefused:
			return KindWrongNode
		case codeDuplicate:
			return KindDuplicate
		}
	}
	return KindUnreachable
}
