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
	// StatusNotRun means that the query certainly did not run.
	StatusNotRun Status = "notRun"
	// StatusOutcomeUnknown means that the query may or may not have run.
	StatusOutcomeUnknown Status = "outcomeUnknown"
)

// Reasons that decide whether a query is sent again; others are passed on to the caller only.
const (
	reasonQuarantined = "quarantined" // every entry refuses it
	reasonDuplicate   = "duplicate"   // an earlier attempt still runs; its answer can be asked for
	reasonLeaving     = "leaving"     // another entry will take it
	reasonZoneOut     = "zoneOut"     // another entry will take it
	reasonNotOwner    = "notOwner"    // servers or claims are being handed over
)

// Query is one request to the system.
type Query struct {
	// RequestID is a UUIDv7; the client makes one where it is empty.
	RequestID string          `json:"requestId"`
	Kind      string          `json:"kind"`
	Key       string          `json:"key,omitempty"`
	Limit     int             `json:"limit,omitempty"`
	Body      json.RawMessage `json:"body,omitempty"`
	// Timeout is the longest time that Query takes, resends included; zero takes that of the options.
	Timeout time.Duration `json:"-"`
}

// Hit is one scored result.
type Hit struct {
	ID     string          `json:"id"`
	Score  float64         `json:"score"`
	Shard  string          `json:"shard,omitempty"`
	Fields json.RawMessage `json:"fields,omitempty"`
}

// MissingShard names a shard without an answer and the reason.
type MissingShard struct {
	Shard  string `json:"shard"`
	Reason string `json:"reason"`
}

// Coverage states how many of the shards of a query answered.
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
	// Entries are the current entry addresses, given by an entry that takes no more queries.
	Entries []string `json:"entries,omitempty"`
}

// Kind classifies an error of this package.
type Kind string

// Kinds of error.
const (
	// KindInvalid means that the query or an option is malformed; sending it again does not help.
	KindInvalid Kind = "invalid"
	// KindNotRun means that no entry was reached, so that the query certainly did not run.
	KindNotRun Kind = "notRun"
	// KindOutcomeUnknown means that the query was sent and no answer arrived.
	KindOutcomeUnknown Kind = "outcomeUnknown"
)

// Error is the error of every operation of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error describes the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("could not %s (%s): %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
