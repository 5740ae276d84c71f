package broker

import (
	"context"
	"errors"
	"net/http"
	"time"
)

// ErrHistoryGone is wrapped by errors of Source.Watch if the store no longer has the changes after the given revision
// and the collection has to be listed again.
var ErrHistoryGone = errors.New("history of the collection is gone")

// ErrRelist is wrapped by errors of Source.Watch if the collection has to be listed again because it is now read from
// another host or from the store, or because the store has come back from an older copy.
var ErrRelist = errors.New("collection has to be listed again")

// Item is a decoded object of a collection. Its revision is of the era of the copy that holds it.
type Item[T any] struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
	Value    T      `json:"value"`
}

// Change is one change of a collection; Value is undefined if Deleted is set.
type Change[T any] struct {
	Item[T]
	Deleted bool `json:"deleted,omitempty"`
}

// Knowledge states up to which point a copy of a collection has every change. It passes from host to host with the copy.
type Knowledge struct {
	// Position is the point in the store's history up to which the copy has every change.
	Position
	// At is the time up to which the copy has every change, at the earliest, on the monotonic clock of this process.
	At time.Time
}

// Accept reports whether items that another host knows can be used.
type Accept[T any] func(items []Item[T], known Knowledge) bool

// Source reads a collection of the platform's store. It skips entries that cannot be decoded.
type Source[T any] interface {
	// List returns all items. It skips copies that are not the store's own and that accept refuses.
	List(ctx context.Context, accept Accept[T]) (items []Item[T], known Knowledge, err error)
	// Watch returns the changes after a position as soon as there are any, or no changes after wait or once the source
	// has confirmed that there are none. It fails with ErrRelist if the store is in another era.
	Watch(ctx context.Context, after Position, wait time.Duration) (changes []Change[T], known Knowledge, err error)
	// Poll is an inexpensive watch on data that may be seconds out of date; it only reports whether there were
	// changes. Like Watch, it fails with ErrHistoryGone or ErrRelist. At is the zero time if the source was not asked.
	Poll(ctx context.Context, after Position, wait time.Duration) (changed bool, at time.Time, err error)
}

// Collection is a source whose objects are written by the hosts.
type Collection[T any] interface {
	Source[T]
	// Put creates or replaces the object with the given name. Exists states whether it probably exists, which saves a call
	// if it is true.
	Put(ctx context.Context, name string, value T, exists bool) error
	// Delete removes the object with the given name if it still has the given revision.
	Delete(ctx context.Context, name string, revision uint64) error
}

// OpaqueRequest is a caller's request on a route that is forwarded unchanged.
type OpaqueRequest struct {
	// ID identifies the caller's attempt.
	ID string
	// Timeout is how long the caller waits after the request arrived; zero means that it did not state a limit.
	Timeout time.Duration
	Method  string
	Target  string // path and query as received
	Path    string // path of Target
	Host    string
	Header  http.Header // without headers that concern only one connection
	Body    []byte
}

// OpaqueAnswer is an answer to an opaque request.
type OpaqueAnswer struct {
	Status int
	Header http.Header
	Body   []byte
	// Signature is the backend server's signature of its answer.
	Signature string
	// FirstOnConnection reports whether the connection has carried no other request, so that the answer cannot belong to
	// one.
	FirstOnConnection bool
}

// ServerRequest is a prepared request to a backend server.
type ServerRequest struct {
	Method string
	// Head returns the request line and header with the empty line that ends it. It is called when a connection is free, as a
	// header that states the time left would be too old by then.
	Head func() []byte
	Body []byte
	// Reuse reports whether the connection may be reused after an answer with this header. A nil Reuse always allows it.
	Reuse func(header http.Header) bool
	// Refusal is called immediately before the first byte of the request is sent, and while the request waits for a connection
	// whenever a channel from Changed is closed; with a reason other than ReasonNone, the request is not sent. A nil Refusal
	// allows every request.
	Refusal func() Reason
	// Changed returns a channel that is closed when Refusal may return another reason; nil means that it does not change.
	Changed func() <-chan struct{}
}

// ServerReply is the result of one request to a backend server.
type ServerReply struct {
	// Answer is nil if no complete answer was received.
	Answer *OpaqueAnswer
	// Sent reports whether any byte of the request may have left this host.
	Sent bool
	// BytesSent and BytesReceived count the bytes of the request and its answer.
	BytesSent, BytesReceived int
	// Reason is the reason why there is no answer.
	Reason Reason
	Err    error
	// Outages is how often, as seen by this host, the server had been out of reach and had answered again before the
	// request. It is set if there is no answer. Requests with different numbers went to different processes.
	Outages int
}

// Exchanger sends prepared requests to backend servers over persistent connections.
type Exchanger interface {
	// Exchange sends one request with the deadline of ctx.
	Exchange(ctx context.Context, server ServerName, request *ServerRequest) ServerReply
}

// Classification is the outcome of an attempt according to the backend server's answer.
type Classification struct {
	Outcome Outcome
	Reason  Reason
}

// Codec converts between opaque requests and the protocol of callers and backend servers.
type Codec interface {
	// Decode reads a caller's request except its body.
	Decode(r *http.Request) (*OpaqueRequest, error)
	// Head appends the request line and header for an instance of a backend server, which has the time remaining for
	// the request.
	Head(to []byte, request *OpaqueRequest, instance string, remaining time.Duration) []byte
	// Matches reports whether the header of an answer names the request.
	Matches(request *OpaqueRequest, header http.Header) bool
	// Notice returns what the backend server states about itself in an answer, and an error if a part of it is malformed.
	// The malformed part is left out.
	Notice(answer *OpaqueAnswer) (ServerNotice, error)
	// Classify returns the outcome of the attempt according to an answer.
	Classify(request *OpaqueRequest, answer *OpaqueAnswer) Classification
	// WriteAnswer sends a backend server's answer to the caller unchanged.
	WriteAnswer(w http.ResponseWriter, answer *OpaqueAnswer)
	// WriteMerged sends the merged answer of a scatter with the signatures of its parts and the number of missing shards.
	WriteMerged(w http.ResponseWriter, body []byte, signatures []string, missing int)
	// WriteError sends a refusal or failure of this system; if failure.RetryAfter is above zero, it asks the caller to
	// retry after that time.
	WriteError(w http.ResponseWriter, failure Failure)
}

// Failure is a refusal or failure of this system, as opposed to an answer of a backend server.
type Failure struct {
	Kind       FailureKind
	Reason     Reason
	RetryAfter time.Duration
}

// FailureKind classifies a Failure.
type FailureKind uint8

// Kinds of Failure.
const (
	// FailureNotRun guarantees that the request has not run and will not run.
	FailureNotRun FailureKind = iota + 1
	// FailureNoRoute means that no route matches.
	FailureNoRoute
	// FailureMalformed means that the request is malformed.
	FailureMalformed
	// FailureTooLarge means that the body exceeds the limit.
	FailureTooLarge
	// FailureIncomplete means that the request did not arrive in time. It has not run and will not run.
	FailureIncomplete
	// FailureTimeout means that the request timed out; it may have run.
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
	case FailureIncomplete:
		return "incomplete"
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
