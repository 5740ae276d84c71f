package scatterer

import (
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
)

// Send is a sub-request to send to the owner of its server.
type Send struct {
	Owner broker.NodeID
	Sub   *broker.SubRequest
	// HedgeAfter is the time until a hedge is due, zero if there will be none.
	HedgeAfter time.Duration
}

// Cancel is an attempt to cancel at the owner of its server.
type Cancel struct {
	Owner  broker.NodeID
	Cancel *broker.Cancel
}

// Actions are what the entry host executes after an event: first all sends, then all cancels.
type Actions struct {
	Sends   []Send
	Cancels []Cancel
	// WakeAt replaces the time of the next call of Wake, unless it is zero.
	WakeAt time.Time
	// Finish is the answer to the query; it is set exactly once, in the last actions of the session.
	Finish *broker.Answer
}

// NotSent returns the answer for an attempt of which no byte was sent.
func NotSent(sub *broker.SubRequest) broker.SubAnswer {
	return broker.SubAnswer{
		RequestID:    sub.RequestID,
		Shard:        sub.Shard,
		Server:       sub.Server,
		Attempt:      sub.Attempt,
		Snapshot:     sub.Snapshot,
		Partitioning: sub.Partitioning,
		Outcome:      broker.OutcomeNotRun,
		Reason:       broker.ReasonUnreachable,
	}
}
