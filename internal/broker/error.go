package broker

import "fmt"

// ErrorKind classifies an Error.
type ErrorKind string

// Kinds of Error.
const (
	// KindInvalid means that the input is malformed or contains an unknown name.
	KindInvalid ErrorKind = "invalid"
	// KindNotReady means that the node does not accept requests at the moment.
	KindNotReady ErrorKind = "notReady"
)

// Error is the error type of the domain layer.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error returns the failed operation and the cause.
func (e *Error) Error() string { return fmt.Sprintf("could not %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
