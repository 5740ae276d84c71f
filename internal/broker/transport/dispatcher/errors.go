package dispatcher

import "errors"

// Kind classifies errors of this package.
type Kind string

// Kinds of error.
const (
	KindUnreachable     Kind = "unreachable"
	KindConnectionLimit Kind = "connectionLimit"
	KindInterrupted     Kind = "interrupted" // the context ended
	KindSilent          Kind = "silent"
	KindLost            Kind = "connectionLost"
	KindWithheld        Kind = "withheld"
	KindTooLarge        Kind = "answerTooLarge"
	KindMalformed       Kind = "malformedAnswer"
	KindStatus          Kind = "unexpectedStatus"
)

// Error is an error of this package.
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
	var own *Error
	if errors.As(err, &own) {
		return own.Kind
	}
	return KindLost
}
