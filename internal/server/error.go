package server

import "fmt"

// ErrorKind classifies an Error.
type ErrorKind string

// Kinds of Error.
const (
	// KindListen means that an address could not be opened.
	KindListen ErrorKind = "listen"
	// KindSettings means that a setting is invalid.
	KindSettings ErrorKind = "settings"
	// KindDeadline means that requests were still in progress at the stop deadline.
	KindDeadline ErrorKind = "deadline"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error returns the failed operation and the cause.
func (e *Error) Error() string { return fmt.Sprintf("could not %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
