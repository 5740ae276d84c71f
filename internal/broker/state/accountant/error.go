package accountant

import "fmt"

// ErrorKind classifies an Error.
type ErrorKind string

// Kinds of Error.
const (
	// KindFull means that there is no room and that nothing may give way.
	KindFull ErrorKind = "full"
	// KindEvicted means that the connection had to give way to others.
	KindEvicted ErrorKind = "evicted"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind ErrorKind
}

// Error returns the operation that failed and the kind.
func (e *Error) Error() string { return fmt.Sprintf("could not %s: %s", e.Op, e.Kind) }
