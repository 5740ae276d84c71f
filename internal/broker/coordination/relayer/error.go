package relayer

import (
	"errors"
	"fmt"
	"io"
	"syscall"
)

// ErrorKind classifies an Error.
type ErrorKind string

// Kinds of Error.
const (
	KindUnreachable ErrorKind = "unreachable" // the relay did not answer
	KindRefused     ErrorKind = "refused"     // the relay does not follow the store or has lost its connection to it
	KindStarting    ErrorKind = "starting"    // the relay has no state yet
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

// failureOf returns why a relay that has answered with err cannot be used. A relay that is silent may be without power or
// cut off.
func failureOf(err error) failure {
	var target *Error
	switch {
	case !errors.As(err, &target):
		return failureSilent
	case target.Kind == KindStarting, errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET), errors.Is(err, io.EOF):
		return failureRestarting
	case target.Kind == KindUnreachable:
		return failureSilent
	default:
		return failureRefused
	}
}
