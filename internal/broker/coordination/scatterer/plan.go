package scatterer

import (
	"slices"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/state/tracker"
	"github.com/yuccarock/yuccarock/pkg/configurator"
)

// pin returns the snapshot to answer from, other than except, with the shards of the query that hold it.
func (s *Session) pin(except broker.Snapshot) tracker.SnapshotCoverage {
	if len(s.shards) == len(s.service.Tracked) {
		return s.service.BestSnapshot(except)
	}
	newest := s.shards[0].tracked.NewestSnapshot(s.service.Partitioning, except)
	if newest == 0 {
		return tracker.SnapshotCoverage{}
	}
	return tracker.SnapshotCoverage{Snapshot: newest, Shards: 1}
}

// needed returns the shards that reach the minimum coverage.
func (s *Session) needed() int { return tracker.RequiredShards(s.kind.MinCoverage, len(s.shards)) }

// launch sends the canary, or all first attempts where no canary is needed.
func (s *Session) launch() {
	if !s.needsCanary() {
		s.release()
		return
	}
	start := s.random.IntN(len(s.shards))
	cold := false
	for offset := range s.shards {
		i := (start + offset) % len(s.shards)
		sh := &s.shards[i]
		chosen, reason := s.choose(sh)
		if reason != broker.ReasonNone {
			cold = cold || reason == broker.ReasonCold
			sh.reason = reason
			continue
		}
		sh.state = shardOpen
		s.canary = i
		if s.suspect {
			s.clearing = i
		}
		s.stats.Canaries++
		s.send(i, chosen, false)
		s.earn(1)
		s.push(s.delay(sh, tracker.CanaryQuantile), i, timerRelease)
		return
	}
	if cold {
		s.push(s.deadline/recheckShare, 0, timerLaunch)
		return
	}
	for i := range s.shards {
		s.miss(i, s.shards[i].reason)
	}
}

// push adds a timer that is due after a delay.
func (s *Session) push(delay time.Duration, i int, kind timerKind) {
	s.timers.push(timer{at: s.now + delay, shard: int32(i), run: s.run, kind: kind})
}

// earn adds base load to the budgets; a second run is no base load.
func (s *Session) earn(requests int) {
	if s.run == 0 && s.strategy.Budgets == nil {
		s.budgets.Hedges.Earn(requests)
		s.budgets.Retries.Earn(requests)
	}
}

func (s *Session) needsCanary() bool {
	if s.suspect {
		return true
	}
	if s.passed || len(s.shards) < 2 {
		return false
	}
	return s.kind.Canary == configurator.CanaryAlways ||
		s.kind.Canary == configurator.CanaryUnseen && !s.request.Seen
}

// release sends the first attempts at all shards that wait for the canary.
func (s *Session) release() {
	s.canary = -1
	if s.suspect {
		return
	}
	held := 0
	for i := range s.shards {
		if s.shards[i].state == shardHeld && !s.shards[i].waiting {
			held++
		}
	}
	if held == 0 {
		return
	}
	s.subs = make([]broker.SubRequest, 0, held)
	s.actions.Sends = slices.Grow(s.actions.Sends, held)
	s.timers = slices.Grow(s.timers, held)
	sent := s.stats.Sent
	for i := range s.shards {
		if s.shards[i].state == shardHeld && !s.shards[i].waiting {
			s.begin(i)
		}
	}
	s.earn(s.stats.Sent - sent)
}

// recheck looks again for a replica of a shard whose replicas were at their limit.
func (s *Session) recheck(i int) {
	if s.suspect {
		s.push(s.deadline/recheckShare, i, timerStart)
		return
	}
	sent := s.stats.Sent
	s.begin(i)
	s.earn(s.stats.Sent - sent)
}

// begin sends the first attempt at a shard, or looks again later where its replicas are cold and at their limit.
func (s *Session) begin(i int) {
	sh := &s.shards[i]
	chosen, reason := s.choose(sh)
	switch reason {
	case broker.ReasonNone:
		sh.state = shardOpen
		s.send(i, chosen, false)
		if budget := s.budget(sh); budget != nil {
			budget.Earn(1)
		}
	case broker.ReasonCold:
		sh.waiting = true
		sh.reason = reason
		s.push(s.deadline/recheckShare, i, timerStart)
	default:
		s.miss(i, reason)
	}
}

// send makes an attempt at a shard.
func (s *Session) send(i int, to candidate, hedge bool) {
	sh := &s.shards[i]
	slot := sh.used
	sh.attempts[slot] = attempt{
		server: to.server, owner: to.state.Owner, sent: s.now, state: attemptLive, hedge: hedge,
	}
	sh.used++
	sh.live++
	to.server.Begin()
	s.stats.Sent++
	if len(s.subs) == cap(s.subs) {
		s.subs = make([]broker.SubRequest, 0, 1)
	}
	s.subs = append(s.subs, broker.SubRequest{
		RequestID:    s.request.Query.RequestID,
		Service:      s.service.Name,
		Shard:        sh.tracked.Name,
		Server:       to.server.Name,
		Attempt:      s.number(int(slot)),
		Snapshot:     s.snapshot,
		Partitioning: s.service.Partitioning,
		Kind:         s.kind.Name,
		Idempotent:   s.kind.Idempotent,
		Priority:     s.kind.Priority,
		Remaining:    s.deadline - s.now,
		Fingerprint:  s.request.Fingerprint,
		Limit:        s.request.Query.Limit,
		Body:         s.request.Query.Body,
		TraceParent:  s.request.TraceParent,
		Revision:     s.view.Table.Revision,
	})
	s.actions.Sends = append(s.actions.Sends, Send{Owner: to.state.Owner, Sub: &s.subs[len(s.subs)-1]})
	if s.mayHedge(sh) {
		s.armHedge(i, s.hedgeDelay(sh))
	}
}

// number returns the attempt number of a slot, which differs between runs.
func (s *Session) number(slot int) uint32 {
	return uint32(s.run)*maxAttempts + uint32(slot) + 1
}

// delay returns a quantile of the shard's latency, or a share of the deadline where it is not known.
func (s *Session) delay(sh *shard, quantile float64) time.Duration {
	if known := sh.tracked.Latency.Quantile(quantile); known > 0 {
		return known
	}
	return s.deadline / defaultDelayShare
}

func (s *Session) mayHedge(sh *shard) bool {
	return s.kind.Idempotent && s.kind.HedgeQuantile > 0 && !sh.hedged && len(sh.tracked.Replicas) > 1
}

func (s *Session) armHedge(i int, delay time.Duration) {
	at := s.now + delay
	s.shards[i].hedgeAt = at
	if at < s.deadline {
		s.push(delay, i, timerHedge)
	}
}

// hedge sends a second attempt to another replica; one that the budget denies is due again soon.
func (s *Session) hedge(i int) {
	sh := &s.shards[i]
	if s.suspect || s.spent(sh) {
		return
	}
	chosen, reason := s.choose(sh)
	if reason != broker.ReasonNone {
		return
	}
	delay := s.hedgeDelay(sh)
	if !s.payHedge(sh, s.now-sh.attempts[sh.first()].sent, delay) {
		s.stats.HedgesDenied++
		s.armHedge(i, delay/hedgeRecheckShare)
		return
	}
	sh.hedged = true
	s.stats.Hedges++
	s.send(i, chosen, true)
	if chosen.state.Phase == broker.PhaseWarm && !s.strategy.Direct {
		s.push(delay, i, timerSupersede)
	}
}

// payHedge spends a token on the hedge of an attempt of some age. An attempt just past the quantile is probably
// not a straggler and may use only what the budget does not keep for older ones.
func (s *Session) payHedge(sh *shard, age, delay time.Duration) bool {
	if budget := s.budget(sh); budget != nil {
		return budget.Spend()
	}
	if age < delay+delay/2 {
		return s.budgets.Hedges.SpendSpare()
	}
	return s.budgets.Hedges.Spend()
}

// supersede cancels the first attempt at a shard after its hedge has had the hedge delay as well. Both are
// probably stragglers then, and two of them would block half of a shard's slots for other queries. The first
// one goes on where the hedge has less time left than the first one has had.
func (s *Session) supersede(i int) {
	sh := &s.shards[i]
	slot := sh.first()
	if s.deadline-s.now >= s.now-sh.attempts[slot].sent {
		s.stats.Superseded++
		s.withdraw(sh, slot)
	}
}
