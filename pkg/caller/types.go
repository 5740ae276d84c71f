package caller

import (
	"encoding/json"
	"fmt"
	"time"
)

// Status is the overall result of a query.
type Status string

// Statuses of a query.
const (
	StatusComplete             Status = "complete"
	StatusPartial              Status = "partial"
	StatusInsufficientCoverage Status = "insufficientCoverage"
	// StatusNotRun means that the query did not run.
	StatusNotRun Status = "notRun"
	// StatusOutcomeUnknown means that the query may or may not have run.
	StatusOutcomeUnknown Status = "outcomeUnknown"
)

// Reasons that determine whether a query is sent again; all others are only returned to the caller.
const (
	reasonQuarantined = "quarantined" // every entry refuses the query
	reasonDuplicate   = "duplicate"   // an earlier attempt is still running; a later resend can obtain its answer
	reasonLeaving     = "leaving"     // other entries accept the query
	reasonZoneOut     = "zoneOut"     // other entries accept the query
	reasonNotOwner    = "notOwner"    // the ownership of servers or claims is moving to another node
)

// Query is one request to the system.
type Query struct {
	// RequestID is a UUIDv7; the client creates one if it is empty.
	RequestID string          `json:"requestId"`
	Kind      string          `json:"kind"`
	Key       string          `json:"key,omitempty"`
	Limit     int             `json:"limit,omitempty"`
	Body      json.RawMessage `json:"body,omitempty"`
	// Timeout is the maximum duration of the query, resends included; zero selects Options.Timeout.
	Timeout time.Duration `json:"-"`
}

// Hit is one scored search result.
type Hit struct {
	ID     string          `json:"id"`
	Score  float64         `json:"score"`
	Shard  string          `json:"shard,omitempty"`
	Fields json.RawMessage `json:"fields,omitempty"`
}

// MissingShard is a shard that did not answer, with the reason.
type MissingShard struct {
	Shard  string `json:"shard"`
	Reason string `json:"reason"`
}

// Coverage states how many of a query's shards answered, and which did not.
type Coverage struct {
	ShardsTotal    int            `json:"shardsTotal"`
	ShardsAnswered int            `json:"shardsAnswered"`
	Missing        []MissingShard `json:"missing,omitempty"`
}

// Answer is the result of a query.
type Answer struct {
	RequestID string   `json:"requestId"`
	Status    Status   `json:"status"`
	Reason    string   `json:"reason,omitempty"`
	Snapshot  uint64   `json:"snapshot,omitempty"`
	Revision  uint64   `json:"revision,omitempty"`
	Coverage  Coverage `json:"coverage"`
	Hits      []Hit    `json:"hits,omitempty"`
	// Entries are the addresses of current entries, set by an entry that accepts no more queries.
	Entries []string `json:"entries,omitempty"`
}

// Kind classifies an error of this package.
type Kind string

// Kinds of error.
const (
	// KindInvalid means that the query or an option is malformed; sending it again does not help.
	KindInvalid Kind = "invalid"
	// KindNotRun means that the query did not run because no entry was reached.
	KindNotRun Kind = "notRun"
	// KindOutcomeUnknown means that the query may have run: it was sent, but no answer arrived.
	KindOutcomeUnknown Kind = "outcomeUnknown"
)

// Error is the type of all errors of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the failed operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("could not %s (%s): %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
