package linker

import (
	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
)

// ErrorKind classifies an Error.
type ErrorKind string

// Kinds of Error.
const (
	// KindNoLink means that no link to the node is up.
	KindNoLink ErrorKind = "noLink"
	// KindQueueFull means that the send queue of the message's stream is full, or that DefaultLargeMessages large
	// messages are already being written.
	KindQueueFull ErrorKind = "queueFull"
	// KindInvalid means that the message cannot be encoded or is too large.
	KindInvalid ErrorKind = "invalid"
	// KindCredentials means that the identity of this node could not be loaded.
	KindCredentials ErrorKind = "credentials"
	// KindUntrusted means that the certificate of the peer is missing, invalid or not signed by a trusted authority.
	KindUntrusted ErrorKind = "untrusted"
	// KindWrongNode means that the peer is not the expected node, did not prove its name, or sent no valid hello.
	KindWrongNode ErrorKind = "wrongNode"
	// KindDuplicate means that a preferred link to the node, dialed by the node whose ID sorts first, is already up.
	KindDuplicate ErrorKind = "duplicate"
	// KindUnreachable means that the connection could not be established or was lost.
	KindUnreachable ErrorKind = "unreachable"
	// KindListen means that the UDP socket could not be opened.
	KindListen ErrorKind = "listen"
	// KindClosed means that the linker is closed or already listens.
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

// kindOf returns the kind of an error of this package or the kind for the error code with which the peer closed the
// connection, and KindUnreachable for any other error.
func kindOf(err error) ErrorKind {
	var linkerError *Error
	if errors.As(err, &linkerError) {
		return linkerError.Kind
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
