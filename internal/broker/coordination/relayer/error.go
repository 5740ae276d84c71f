package relayer

import "fmt"

// ErrorKind classifies an Error.
type ErrorKind string

// Kinds of Error.
const (
	KindUnreachable ErrorKind = "unreachable" // the relay did not answer
	KindRefused     ErrorKind = "refused"     // the relay does not follow the store or has lost its connection to it
	KindMalformed   ErrorKind = "malformed"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error returns the failed operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("could not %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
