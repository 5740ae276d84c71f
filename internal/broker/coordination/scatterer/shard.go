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
	attemptLive      attemptState = iota + 1
	attemptEnded                  // its answer or failure is known
	attemptCancelled              // withdrawn
)

// attempt is one sub-request that was sent.
type attempt struct {
	server *tracker.Server
	owner  broker.NodeID
	sent   time.Duration // since the start of the session
	state  attemptState
	hedge  bool
	notRun bool // it certainly did not run
	moved  bool // refused by a node that does not own or reach the server, so that another owner may be asked
}

type shardState uint8

const (
	shardHeld shardState = iota // no attempt sent, waits for the canary or a cold replica
	shardOpen
	shardAnswered
	shardMissing
)

// shard is the progress of a query at one shard.
type shard struct {
	tracked  *tracker.Shard
	attempts [maxAttempts]attempt
	used     uint8
	live     uint8
	state    shardState
	waiting  bool // held because no replica takes work now
	moving   bool // open without an attempt because its servers are changing their owner
	hedged   bool
	hedgeAt  time.Duration // when the hedge is due; other hedge timers of the shard are void
	refused  bool          // an attempt was refused with snapshotMissing
	reason   broker.Reason
}

// first returns the slot of the first attempt in flight, of which there is at least one.
func (sh *shard) first() int {
	for slot := range sh.attempts[:sh.used] {
		if sh.attempts[slot].state == attemptLive {
			return slot
		}
	}
	return 0
}

// tried returns whether a server had an attempt that rules out another one through owner.
func (sh *shard) tried(server *tracker.Server, owner broker.NodeID) bool {
	for i := range sh.attempts[:sh.used] {
		made := &sh.attempts[i]
		if made.server == server && (!made.moved || made.owner == owner) {
			return true
		}
	}
	return false
}
