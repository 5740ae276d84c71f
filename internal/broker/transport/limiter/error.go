package limiter

import "fmt"

// ErrorKind classifies an Error.
type ErrorKind string

// Kinds of Error.
const (
	// KindTooLarge means that a body exceeds its limit.
	KindTooLarge ErrorKind = "tooLarge"
	// KindTimeout means that a body was not complete in time.
	KindTimeout ErrorKind = "timeout"
	// KindNoRoom means that there was no memory for a body, or that it had to give way to others.
	KindNoRoom ErrorKind = "noRoom"
	// KindMalformed means that a body ended early or is not encoded correctly.
	KindMalformed ErrorKind = "malformed"
	// KindListen means that an address could not be listened on.
	KindListen ErrorKind = "listen"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error returns the operation that failed, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("could not %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
