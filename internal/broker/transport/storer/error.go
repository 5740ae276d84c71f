package storer

import "github.com/pkg/errors"

// ErrorKind is the category of an Error; it states whether the call took effect.
type ErrorKind string

// Kinds of errors.
const (
	// KindConflict means that the write required another version of the object; it did not take effect.
	KindConflict ErrorKind = "conflict"
	// KindUnavailable means that the store did not process the call or did not answer a read.
	KindUnavailable ErrorKind = "unavailable"
	// KindUnknownOutcome means that a write may or may not have taken effect, and may still do so.
	KindUnknownOutcome ErrorKind = "unknownOutcome"
	// KindTooLarge means that the value exceeds MaxValue; the write did not take effect.
	KindTooLarge ErrorKind = "tooLarge"
	// KindInvalid means that a call or an answer violates the protocol of the store.
	KindInvalid ErrorKind = "invalid"
)

// Error is a failed call to the store.
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
	var storeErr *Error
	if errors.As(err, &storeErr) {
		return storeErr.Kind
	}
	return ""
}

func newError(op string, kind ErrorKind, message string) error {
	return &Error{Op: op, Kind: kind, Err: errors.New(message)}
}

func wrap(op string, kind ErrorKind, err error) error {
	return &Error{Op: op, Kind: kind, Err: errors.WithStack(err)}
}
