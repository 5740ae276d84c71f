package dispatcher

import "errors"

// Kind is the category of an Error.
type Kind string

// Kinds of error.
const (
	KindUnreachable     Kind = "unreachable"     // no connection could be opened
	KindConnectionLimit Kind = "connectionLimit" // no connection became free before the context was done
	KindInterrupted     Kind = "interrupted"     // the context was done before the answer was complete
	KindSilent          Kind = "silent"          // no answer on a reused connection within the first-byte timeout
	KindLost            Kind = "connectionLost"  // the connection failed during the exchange
	KindWithheld        Kind = "withheld"        // the sender did not allow the request any more
	KindTooLarge        Kind = "answerTooLarge"
	KindMalformed       Kind = "malformedAnswer"
	KindStatus          Kind = "unexpectedStatus"
)

// Error is a failed exchange with a backend server.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns operation, kind and cause.
func (e *Error) Error() string {
	text := "could not " + e.Op + ": " + string(e.Kind)
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// kindOf returns the kind of the first error of this package in the chain, or KindLost.
func kindOf(err error) Kind {
	var dispatchErr *Error
	if errors.As(err, &dispatchErr) {
		return dispatchErr.Kind
	}
	return KindLost
}
