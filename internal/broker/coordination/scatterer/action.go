package scatterer

import (
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
)

// Send asks the caller to send a sub-request to the owner of its server.
type Send struct {
	Owner broker.NodeID
	Sub   *broker.SubRequest
}

// Cancel asks the caller to withdraw an attempt at the owner of its server.
type Cancel struct {
	Owner  broker.NodeID
	Cancel *broker.Cancel
}

// Actions is what the caller carries out after an event: first all sends, then all cancels.
type Actions struct {
	Sends   []Send
	Cancels []Cancel
	// WakeAt, where not zero, replaces the time of the next call of Wake.
	WakeAt time.Time
	// Finish is the answer to the query; it is set exactly once, and no action follows it.
	Finish *broker.Answer
}

// NotSent returns the answer to an attempt of which no byte left this process.
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
