package broker

import "fmt"

// ErrorKind classifies an Error.
type ErrorKind string

// Kinds of Error.
const (
	// KindInvalid means that the input was malformed or names something unknown.
	KindInvalid ErrorKind = "invalid"
	// KindNotReady means that the node takes no requests now.
	KindNotReady ErrorKind = "notReady"
)

// Error is the error type of the domain layer.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error returns what could not be done and why.
func (e *Error) Error() string { return fmt.Sprintf("could not %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
