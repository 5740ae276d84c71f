package scatterer

import (
	"slices"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/state/tracker"
)

// bestSnapshot returns the snapshot to answer from, other than except, with the number of shards of the query that have
// it.
func (s *Session) bestSnapshot(except broker.Snapshot) tracker.SnapshotCoverage {
	if len(s.shards) == len(s.service.Tracked) {
		return s.service.BestSnapshot(except)
	}
	newest := s.shards[0].tracked.NewestSnapshot(s.service.Partitioning, except)
	if newest == 0 {
		return tracker.SnapshotCoverage{}
	}
	return tracker.SnapshotCoverage{Snapshot: newest, Shards: 1}
}

// neededShards returns the number of answered shards that the minimum coverage requires.
func (s *Session) neededShards() int {
	return tracker.RequiredShards(s.kind.MinCoverage, len(s.shards))
}

// startAttempts sends the canary, or all first attempts if no canary is needed.
func (s *Session) startAttempts() {
	if !s.needsCanary() {
		s.startRemaining()
		return
	}
	reasons := s.sendCanary(&s.canaryShard)
	if s.awaitsCanary() {
		if s.suspect {
			s.trialShard = s.canaryShard
		}
		s.scheduleSecondCanary()
		return
	}
	if slices.Contains(reasons, broker.ReasonCold) {
		s.schedule(s.deadline/recheckDivisor, 0, timerRetryCanary)
		return
	}
	for i := range s.shards {
		if s.shards[i].state == shardUnstarted {
			s.markMissing(i, s.shards[i].reason)
		}
	}
}

// schedule adds a timer of a shard.
func (s *Session) schedule(delay time.Duration, i int, kind timerKind) {
	s.timers.push(timer{at: s.now + delay, shard: int32(i), run: s.run, kind: kind})
}

// depositBudgets credits the request kind's budgets for base load; a rerun is not base load.
func (s *Session) depositBudgets(requests int) {
	if s.run == 0 && s.strategy.Budgets == nil {
		s.budgets.Hedges.Deposit(requests)
		s.budgets.Retries.Deposit(requests)
	}
}

// startRemaining sends the first attempts at all shards that waited for the canary.
func (s *Session) startRemaining() {
	s.canaryShard, s.secondCanary = -1, -1
	if s.suspect {
		return
	}
	waiting := 0
	for i := range s.shards {
		if s.shards[i].state == shardUnstarted && !s.shards[i].awaitingCapacity {
			waiting++
		}
	}
	if waiting == 0 {
		return
	}
	s.subRequests = make([]broker.SubRequest, 0, waiting)
	s.actions.Sends = slices.Grow(s.actions.Sends, waiting)
	s.timers = slices.Grow(s.timers, waiting)
	sent := s.stats.Sent
	for i := range s.shards {
		if s.shards[i].state == shardUnstarted && !s.shards[i].awaitingCapacity {
			s.startShard(i)
		}
	}
	s.depositBudgets(s.stats.Sent - sent)
}

// retryStart tries again to start a shard whose replicas were at their limit.
func (s *Session) retryStart(i int) {
	if s.suspect {
		s.schedule(s.deadline/recheckDivisor, i, timerRetryStart)
		return
	}
	sent := s.stats.Sent
	s.startShard(i)
	s.depositBudgets(s.stats.Sent - sent)
}

// startShard sends the first attempt at a shard, or schedules another try if its replicas are cold and at their limit.
func (s *Session) startShard(i int) {
	sh := &s.shards[i]
	chosen, reason := s.chooseReplica(sh)
	switch reason {
	case broker.ReasonNone:
		sh.state = shardStarted
		s.sendAttempt(i, chosen, false)
		if budget := s.shardBudget(sh); budget != nil {
			budget.Deposit(1)
		}
	case broker.ReasonCold:
		sh.awaitingCapacity = true
		sh.reason = reason
		s.schedule(s.deadline/recheckDivisor, i, timerRetryStart)
	default:
		s.markMissing(i, reason)
	}
}

// sendAttempt sends a sub-request of a shard to a replica.
func (s *Session) sendAttempt(i int, to candidate, hedge bool) {
	sh := &s.shards[i]
	slot := sh.attemptCount
	sh.attempts[slot] = attempt{
		server: to.server, owner: to.state.Owner, sent: s.now, state: attemptInFlight, hedge: hedge,
	}
	sh.attemptCount++
	sh.inFlight++
	to.server.Begin()
	s.stats.Sent++
	if len(s.subRequests) == cap(s.subRequests) {
		s.subRequests = make([]broker.SubRequest, 0, 1)
	}
	s.subRequests = append(s.subRequests, broker.SubRequest{
		RequestID:    s.request.Query.RequestID,
		Service:      s.service.Name,
		Shard:        sh.tracked.Name,
		Server:       to.server.Name,
		Attempt:      s.attemptNumber(int(slot)),
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
		Canary:       s.isCanary(i),
	})
	send := Send{Owner: to.state.Owner, Sub: &s.subRequests[len(s.subRequests)-1]}
	if s.mayHedge(sh) {
		send.HedgeAfter = s.hedgeDelay(sh)
		s.scheduleHedge(i, send.HedgeAfter)
	}
	s.actions.Sends = append(s.actions.Sends, send)
}

// attemptNumber returns the attempt number of a slot, which is unique across runs.
func (s *Session) attemptNumber(slot int) uint32 {
	return uint32(s.run)*maxAttempts + uint32(slot) + 1
}

// latencyQuantile returns a quantile of the shard's latency, or a share of the deadline if it is not known.
func (s *Session) latencyQuantile(sh *shard, quantile float64) time.Duration {
	if known := sh.tracked.Latency.Quantile(quantile); known > 0 {
		return known
	}
	return s.deadline / defaultDelayDivisor
}

func (s *Session) mayHedge(sh *shard) bool {
	return s.kind.Idempotent && s.kind.HedgeQuantile > 0 && !sh.hedged && len(sh.tracked.Replicas) > 1
}

func (s *Session) scheduleHedge(i int, delay time.Duration) {
	at := s.now + delay
	s.shards[i].hedgeAt = at
	if at < s.deadline {
		s.schedule(delay, i, timerHedge)
	}
}

// hedge sends a second attempt to another replica; if the budget denies it, the hedge is scheduled again.
func (s *Session) hedge(i int) {
	sh := &s.shards[i]
	if s.suspect || s.attemptsExhausted(sh) {
		return
	}
	delay := s.hedgeDelay(sh)
	if s.awaitsCanary() {
		s.scheduleHedge(i, delay/hedgeRecheckDivisor)
		return
	}
	chosen, reason := s.chooseReplica(sh)
	if reason != broker.ReasonNone {
		return
	}
	if !s.takeHedgeToken(sh, s.now-sh.attempts[sh.firstInFlight()].sent, delay) {
		s.returnToken(chosen)
		s.stats.HedgesDenied++
		s.scheduleHedge(i, delay/hedgeRecheckDivisor)
		return
	}
	sh.hedged = true
	s.stats.Hedges++
	s.sendAttempt(i, chosen, true)
	if chosen.state.Phase == broker.PhaseWarm && !s.strategy.Direct {
		s.schedule(delay, i, timerSupersede)
	}
}

// takeHedgeToken takes a token for the hedge of an attempt that has run for age. An attempt just past the hedge delay
// is probably not a straggler, so that half of the budget is reserved for the hedges of older attempts.
func (s *Session) takeHedgeToken(sh *shard, age, delay time.Duration) bool {
	if budget := s.shardBudget(sh); budget != nil {
		return budget.TryWithdraw()
	}
	if age < delay+delay/2 {
		return s.budgets.Hedges.TryWithdrawSurplus()
	}
	return s.budgets.Hedges.TryWithdraw()
}

// supersede cancels the first attempt at a shard once its hedge is older than the hedge delay too. Both are probably
// stragglers then, and together they would block half of a shard's slots for other queries. The first attempt is kept
// if the hedge has less time left than the first attempt has already taken.
func (s *Session) supersede(i int) {
	sh := &s.shards[i]
	slot := sh.firstInFlight()
	if s.deadline-s.now >= s.now-sh.attempts[slot].sent {
		s.stats.Superseded++
		s.cancelAttempt(sh, slot)
	}
}
