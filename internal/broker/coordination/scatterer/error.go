package scatterer

import "fmt"

// ErrorKind classifies an Error.
type ErrorKind string

// Kinds of error.
const (
	KindUnknownRequest ErrorKind = "unknownRequestKind"
	KindUnknownService ErrorKind = "unknownService"
	KindNoShards       ErrorKind = "noShards"
)

// Error reports why a query could not be planned.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("could not %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
