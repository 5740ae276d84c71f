package modeler

import "fmt"

// ErrorKind classifies an Error.
type ErrorKind string

// Kinds of Error: a scenario that cannot be read, and an invalid scenario, policy or plot.
const (
	KindUnreadable ErrorKind = "unreadable"
	KindInvalid    ErrorKind = "invalid"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error returns the failed operation and its cause.
func (e *Error) Error() string { return fmt.Sprintf("could not %s: %v", e.Op, e.Err) }

// Unwrap returns the cause of the error.
func (e *Error) Unwrap() error { return e.Err }
