package encoder

import "github.com/pkg/errors"

// ErrorKind says what is wrong with a message or a frame.
type ErrorKind string

// Kinds of errors.
const (
	// KindInvalid means a message without exactly one field, or a value that has no encoding.
	KindInvalid ErrorKind = "invalid"
	// KindMalformed means bytes that are no frame of messages.
	KindMalformed ErrorKind = "malformed"
	// KindTooLarge means a message or frame above MaxFrame.
	KindTooLarge ErrorKind = "tooLarge"
	// KindRead means that the reader below failed or ended inside a frame.
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
