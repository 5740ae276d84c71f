package scatterer

import (
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/state/tracker"
)

// maxAttempts bounds the attempts at one shard in one run: the first, one hedge and two retries.
const maxAttempts = 4

type attemptState uint8

const (
	attemptInFlight  attemptState = iota + 1
	attemptEnded                  // its answer or failure is known
	attemptCancelled              // cancelled, an answer may still arrive
)

// attempt is one sub-request that was sent.
type attempt struct {
	server        *tracker.Server
	owner         broker.NodeID
	sent          time.Duration // since the start of the session
	state         attemptState
	hedge         bool
	notRun        bool // certainly did not run
	tryOtherOwner bool // refused by a node that does not own or reach the server
}

type shardState uint8

const (
	shardUnstarted shardState = iota // no attempt sent: waits for the canary or for capacity at a cold replica
	shardStarted
	shardAnswered
	shardMissing
)

// shard is the progress of a query at one shard.
type shard struct {
	tracked          *tracker.Shard
	attempts         [maxAttempts]attempt
	attemptCount     uint8
	inFlight         uint8
	state            shardState
	awaitingCapacity bool // unstarted because all replicas are at their limit
	awaitingOwner    bool // started, without an attempt in flight, while its servers change owners
	hedged           bool
	hedgeAt          time.Duration // when the hedge is due; hedge timers for other times are obsolete
	snapshotMissing  bool          // an attempt was refused with snapshotMissing
	reason           broker.Reason
}

// firstInFlight returns the slot of the first attempt in flight; there must be one.
func (sh *shard) firstInFlight() int {
	for slot := range sh.attempts[:sh.attemptCount] {
		if sh.attempts[slot].state == attemptInFlight {
			return slot
		}
	}
	return 0
}

// tried returns whether an earlier attempt at a server rules out another one through owner.
func (sh *shard) tried(server *tracker.Server, owner broker.NodeID) bool {
	for i := range sh.attempts[:sh.attemptCount] {
		a := &sh.attempts[i]
		if a.server == server && (!a.tryOtherOwner || a.owner == owner) {
			return true
		}
	}
	return false
}
