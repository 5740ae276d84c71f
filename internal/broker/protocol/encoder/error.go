package encoder

import "github.com/pkg/errors"

// ErrorKind classifies an Error.
type ErrorKind string

// Kinds of Error.
const (
	// KindInvalid means that a message does not have exactly one field set, or that a value cannot be encoded.
	KindInvalid ErrorKind = "invalid"
	// KindMalformed means that the bytes are not a valid frame or hello.
	KindMalformed ErrorKind = "malformed"
	// KindTooLarge means that a message or frame exceeds MaxFrameSize, or that a hello is too large.
	KindTooLarge ErrorKind = "tooLarge"
	// KindRead means that the underlying reader failed or ended inside a frame or hello.
	KindRead ErrorKind = "read"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	return "encoder: could not " + e.Op + " (" + string(e.Kind) + "): " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

func failure(op string, kind ErrorKind, message string) error {
	return &Error{Op: op, Kind: kind, Err: errors.New(message)}
}

func wrap(op string, kind ErrorKind, err error) error {
	return &Error{Op: op, Kind: kind, Err: errors.WithStack(err)}
}
