package testbed

import "fmt"

// ErrorKind classifies an Error.
type ErrorKind string

// Kinds of Error.
const (
	// KindSetup means that a part of the system could not be started.
	KindSetup ErrorKind = "setup"
	// KindTimeout means that an expected state was not reached in time.
	KindTimeout ErrorKind = "timeout"
	// KindViolation means that the system broke a guarantee.
	KindViolation ErrorKind = "violation"
)

// Error is an error of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error returns the operation and the cause.
func (e *Error) Error() string { return fmt.Sprintf("could not %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
