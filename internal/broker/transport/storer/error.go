package storer

import "github.com/pkg/errors"

// ErrorKind says what is known after a failed call.
type ErrorKind string

// Kinds of errors.
const (
	// KindConflict means that the object has another version; the write did not take effect.
	KindConflict ErrorKind = "conflict"
	// KindUnavailable means that the store did not take the call.
	KindUnavailable ErrorKind = "unavailable"
	// KindUnknownOutcome means that a write may or may not have taken effect, now or later.
	KindUnknownOutcome ErrorKind = "unknownOutcome"
	// KindTooLarge means that the value exceeds MaxValue; the write did not take effect.
	KindTooLarge ErrorKind = "tooLarge"
	// KindInvalid means a call or an answer against the protocol of the store.
	KindInvalid ErrorKind = "invalid"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	return "storer: could not " + e.Op + " (" + string(e.Kind) + "): " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// KindOf returns the kind of an error of this package, or an empty kind for any other.
func KindOf(err error) ErrorKind {
	var known *Error
	if errors.As(err, &known) {
		return known.Kind
	}
	return ""
}

func failure(op string, kind ErrorKind, message string) error {
	return &Error{Op: op, Kind: kind, Err: errors.New(message)}
}

func wrap(op string, kind ErrorKind, err error) error {
	return &Error{Op: op, Kind: kind, Err: errors.WithStack(err)}
}
