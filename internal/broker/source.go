package broker

import (
	"context"
	"errors"
	"net/http"
	"time"
)

// ErrHistoryGone is in the chain of an error of Source.Watch where changes can no longer be told apart and the
// collection has to be listed again.
var ErrHistoryGone = errors.New("history of the collection is gone")

// ErrRelist is in the chain of an error of Source.Watch where the collection has to be listed again, because it is read
// from another place than before.
var ErrRelist = errors.New("collection has to be listed again")

// Item is one decoded object of a collection.
type Item[T any] struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
	Value    T      `json:"value"`
}

// Change is one change of a collection; Value is meaningless where Deleted is set.
type Change[T any] struct {
	Item[T]
	Deleted bool `json:"deleted,omitempty"`
}

// Source is a collection in the platform's store. Entries that cannot be decoded are left out by the source.
type Source[T any] interface {
	// List returns all items and the revision of the store that they are of.
	List(ctx context.Context) (items []Item[T], at uint64, err error)
	// Watch returns the changes after a revision as soon as there are any, or none after wait.
	Watch(ctx context.Context, after uint64, wait time.Duration) (changes []Change[T], at uint64, err error)
	// Glance is a watch that costs little and may miss changes for seconds; it returns only whether there were any. It
	// fails like Watch where the history is gone.
	Glance(ctx context.Context, after uint64, wait time.Duration) (changed bool, err error)
}

// Collection is a source whose objects the hosts write themselves.
type Collection[T any] interface {
	Source[T]
	// Put creates or replaces the object of a name.
	Put(ctx context.Context, name string, value T) error
	// Delete removes the object of a name if its revision is the given one.
	Delete(ctx context.Context, name string, revision uint64) error
}

// OpaqueRequest is a caller's request on a route, which is passed on unchanged.
type OpaqueRequest struct {
	// ID names the caller's attempt.
	ID string
	// Patience is how long the caller waits, counted from the arrival; zero means that it did not say.
	Patience time.Duration
	Method   string
	Target   string // path and query as received
	Path     string // path of Target
	Host     string
	Header   http.Header // without headers that concern only one connection
	Body     []byte
}

// OpaqueAnswer is an answer to an opaque request.
type OpaqueAnswer struct {
	Status int
	Header http.Header
	Body   []byte
	// Signature is the backend server's proof of its answer.
	Signature string
}

// ServerRequest is a prepared request to a backend server.
type ServerRequest struct {
	Method string
	Head   []byte // request line and header with the empty line that ends it
	Body   []byte
	// Trust returns whether the connection may carry another request after an answer with this header; nil trusts all.
	Trust func(header http.Header) bool
}

// ServerReply is what is known after one exchange with a backend server.
type ServerReply struct {
	// Answer is nil where no whole answer arrived.
	Answer *OpaqueAnswer
	// Sent is whether any byte of the request may have left this host.
	Sent bool
	// Reason says why there is no answer.
	Reason Reason
	Err    error
}

// Exchanger sends prepared requests to backend servers over connections that it keeps.
type Exchanger interface {
	// Exchange makes one request; the deadline comes from ctx.
	Exchange(ctx context.Context, server ServerName, request *ServerRequest) ServerReply
}

// Verdict is what a backend server's answer says of the attempt.
type Verdict struct {
	Outcome Outcome
	Reason  Reason
}

// Codec translates between opaque requests and the protocol of callers and backend servers.
type Codec interface {
	// Decode reads a caller's request without its body.
	Decode(r *http.Request) (*OpaqueRequest, error)
	// Head appends the head of the request to one instance of a backend server, which may work on it for remaining.
	Head(to []byte, request *OpaqueRequest, instance string, remaining time.Duration) []byte
	// Belongs returns whether the header of an answer does not name another request.
	Belongs(request *OpaqueRequest, header http.Header) bool
	// Judge reads what an answer says of the attempt.
	Judge(request *OpaqueRequest, answer *OpaqueAnswer) Verdict
	// WriteAnswer sends one backend server's answer to the caller unchanged.
	WriteAnswer(w http.ResponseWriter, answer *OpaqueAnswer)
	// WriteMerged sends the merged answer of a scatter with the signatures of its parts and the number of shards left out.
	WriteMerged(w http.ResponseWriter, body []byte, signatures []string, missing int)
	// WriteError sends a refusal or failure of the system itself; retryAfter above zero asks the caller to come back.
	WriteError(w http.ResponseWriter, failure Failure)
}

// Failure is an answer of the system itself.
type Failure struct {
	Kind       FailureKind
	Reason     Reason
	RetryAfter time.Duration
}

// FailureKind classifies answers of the system itself.
type FailureKind uint8

// Kinds of failure.
const (
	// FailureNotRun promises that the request has not run and never will.
	FailureNotRun FailureKind = iota + 1
	// FailureNoRoute means that no route matches.
	FailureNoRoute
	// FailureMalformed means that the request cannot be understood.
	FailureMalformed
	// FailureTooLarge means that the body exceeds the limit.
	FailureTooLarge
	// FailureTimeout means that the time ran out; the request may have run.
	FailureTimeout
	// FailureUnknown means that no backend server gave a usable answer; the request may have run.
	FailureUnknown
)

// String returns the camel-case name used in logs.
func (k FailureKind) String() string {
	switch k {
	case FailureNotRun:
		return "notRun"
	case FailureNoRoute:
		return "noRoute"
	case FailureMalformed:
		return "malformed"
	case FailureTooLarge:
		return "tooLarge"
	case FailureTimeout:
		return "timeout"
	case FailureUnknown:
		return "unknown"
	default:
		return "invalid"
	}
}
