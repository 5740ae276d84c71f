package deduplicator

// Kind classifies errors of this package.
type Kind string

// Kinds of error.
const (
	// KindMalformed means that the request ID is not a UUIDv7.
	KindMalformed Kind = "malformedRequestId"
	// KindFuture means that the request ID was created further in the future than the clock skew allows.
	KindFuture Kind = "futureRequestId"
)

// Error is an error of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the failed operation, the kind and the cause.
func (e *Error) Error() string {
	text := "could not " + e.Op + ": " + string(e.Kind)
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
