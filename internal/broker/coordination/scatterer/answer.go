package scatterer

import (
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
)

// ownerCheck is the pause before a shard looks for the next owner of its servers; a planned handover takes a few tens
// of milliseconds.
const ownerCheck = 20 * time.Millisecond

// Answer takes the answer to an attempt; one that does not match the attempt is counted and never merged. After a
// refusal as notOwner the tracker has to know of it already, so that a retry goes to another owner.
func (s *Session) Answer(now time.Time, answer *broker.SubAnswer) Actions {
	if !s.enter(now) {
		s.stats.Drops[DropLate]++
		return s.actions
	}
	i, slot, ok := s.match(answer)
	if !ok {
		return s.leave()
	}
	switch {
	case answer.Outcome != broker.OutcomeAnswered:
		s.fail(i, slot, answer.Outcome, answer.Reason)
	case answer.Snapshot != s.snapshot:
		s.stats.Drops[DropForeignSnapshot]++
		s.fail(i, slot, broker.OutcomeUnknown, broker.ReasonMismatch)
	case answer.Partitioning != s.service.Partitioning:
		s.stats.Drops[DropForeignPartitioning]++
		s.fail(i, slot, broker.OutcomeUnknown, broker.ReasonMismatch)
	default:
		s.accept(i, slot, answer.Hits)
	}
	return s.leave()
}

// AnswerOpaque takes the answer to an attempt of an opaque request with what the backend server sent.
func (s *Session) AnswerOpaque(now time.Time, answer *broker.SubAnswer, opaque *broker.OpaqueAnswer) Actions {
	s.opaque = opaque
	defer func() { s.opaque = nil }()
	return s.Answer(now, answer)
}

// Parts returns the answers to an opaque request that were used, in the order of their arrival.
func (s *Session) Parts() []*broker.OpaqueAnswer { return s.parts }

// match returns the attempt in flight that an answer belongs to.
func (s *Session) match(answer *broker.SubAnswer) (i, slot int, ok bool) {
	drop := func(reason Drop) (int, int, bool) {
		s.stats.Drops[reason]++
		return 0, 0, false
	}
	if answer.RequestID != s.request.Query.RequestID {
		return drop(DropForeignRequest)
	}
	at, ok := s.service.ShardIndex(answer.Shard)
	i = at - s.base
	if !ok || i < 0 || i >= len(s.shards) {
		return drop(DropForeignShard)
	}
	sh := &s.shards[i]
	first := s.number(0)
	if answer.Attempt != 0 && answer.Attempt < first {
		return drop(DropLate)
	}
	slot = int(answer.Attempt) - int(first)
	if slot < 0 || slot >= int(sh.used) {
		return drop(DropForeignAttempt)
	}
	made := &sh.attempts[slot]
	switch {
	case made.server.Name != answer.Server:
		return drop(DropForeignServer)
	case made.state == attemptEnded:
		return drop(DropDuplicate)
	case made.state == attemptCancelled:
		return drop(DropLate)
	}
	return i, slot, true
}

// accept merges the answer of an attempt and cancels the other attempt at the shard.
func (s *Session) accept(i, slot int, hits []broker.Hit) {
	sh := &s.shards[i]
	made := &sh.attempts[slot]
	s.end(sh, slot, attemptEnded)
	elapsed := s.now - made.sent
	sh.tracked.Latency.Record(s.started.Add(s.now), elapsed)
	made.server.Observe(elapsed)
	if made.hedge {
		s.stats.HedgeWins++
	}
	s.cancel(sh)
	s.merged.add(sh.tracked.Name, hits)
	if s.opaque != nil {
		s.parts = append(s.parts, s.opaque)
	}
	sh.state = shardAnswered
	s.answered++
	s.open--
	s.passed = true
	if s.clearing == i && s.crashes == 1 {
		s.suspect, s.clearing = false, -1
		s.release()
	} else if s.canary == i {
		s.release()
	}
	s.stopIfEnough()
}

// end takes an attempt out of flight.
func (s *Session) end(sh *shard, slot int, state attemptState) {
	made := &sh.attempts[slot]
	made.state = state
	made.server.End()
	sh.live--
}

// cancel withdraws the attempts in flight at a shard.
func (s *Session) cancel(sh *shard) {
	for slot := range sh.attempts[:sh.used] {
		if sh.attempts[slot].state == attemptLive {
			s.withdraw(sh, slot)
		}
	}
}

// withdraw cancels one attempt in flight.
func (s *Session) withdraw(sh *shard, slot int) {
	made := &sh.attempts[slot]
	s.end(sh, slot, attemptCancelled)
	// Without the time that a straggler took so far, quantiles would forget stragglers and hedges come too early;
	// a time below the quantile says nothing.
	if elapsed := s.now - made.sent; elapsed >= s.delay(sh, s.kind.HedgeQuantile) {
		sh.tracked.Latency.Record(s.started.Add(s.now), elapsed)
	}
	s.stats.Cancels++
	s.actions.Cancels = append(s.actions.Cancels, Cancel{Owner: made.owner, Cancel: &broker.Cancel{
		RequestID: s.request.Query.RequestID,
		Shard:     sh.tracked.Name,
		Attempt:   s.number(slot),
	}})
}

// fail ends an attempt without an answer; the shard goes on with an attempt in flight or a retry, or is missing.
func (s *Session) fail(i, slot int, outcome broker.Outcome, reason broker.Reason) {
	sh := &s.shards[i]
	s.end(sh, slot, attemptEnded)
	sh.reason = reason
	crashed := outcome != broker.OutcomeNotRun && reason == broker.ReasonCrashed
	switch {
	case outcome == broker.OutcomeNotRun:
		s.notRun++
		sh.attempts[slot].notRun = true
		sh.attempts[slot].moved = moved(reason)
		sh.refused = sh.refused || reason == broker.ReasonSnapshotMissing
	case crashed:
		s.stats.Crashes++
		s.crashes++
		s.suspect = true
	}
	switch {
	case outcome == broker.OutcomeNotRun && reason == broker.ReasonQuarantined:
		s.stop(reason)
	case sh.live > 0:
		// The attempt in flight decides; after a crash it runs on the one more server that a suspect is allowed.
		if crashed && s.crashes == 1 {
			s.clearing = i
		}
	case s.retry(i, outcome, reason):
	case s.awaitOwner(i, outcome, reason):
	default:
		s.miss(i, reason)
		s.settle(i, outcome)
	}
	if s.crashes > 1 {
		s.drain(broker.ReasonCrashed)
	}
}

// settle decides about the shards without an attempt after shard i went missing.
func (s *Session) settle(i int, outcome broker.Outcome) {
	switch {
	case s.suspect && (s.clearing < 0 || s.clearing == i):
		s.drain(broker.ReasonCrashed)
	case s.canary == i && outcome != broker.OutcomeNotRun:
		s.release()
	}
}

// moved returns whether a refusal tells that another node owns or reaches the server.
func moved(reason broker.Reason) bool {
	switch reason {
	case broker.ReasonNotOwner, broker.ReasonLeaseLapsed, broker.ReasonLeaving, broker.ReasonUnreachable:
		return true
	default:
		return false
	}
}

// retry sends another attempt at a shard if the outcome, the replicas and the budget allow it.
func (s *Session) retry(i int, outcome broker.Outcome, reason broker.Reason) bool {
	sh := &s.shards[i]
	if s.spent(sh) || !s.retryable(i, outcome, reason) {
		return false
	}
	chosen, none := s.choose(sh)
	if none != broker.ReasonNone {
		return false
	}
	// The budget limits extra load on backend servers; a refusal by a node never reached one, and a planned handover
	// refuses a share of all attempts for a moment.
	free := outcome == broker.OutcomeNotRun && moved(reason)
	if !free && !s.payRetry(sh) {
		s.stats.RetriesDenied++
		return false
	}
	if s.suspect {
		s.clearing = i
	}
	s.stats.Retries++
	s.send(i, chosen, false)
	return true
}

func (s *Session) payRetry(sh *shard) bool {
	if budget := s.budget(sh); budget != nil {
		return budget.Spend()
	}
	return s.budgets.Retries.Spend()
}

// awaitOwner lets a shard look again soon where all its replicas were refused by nodes, as in the moment between the
// release of a server and the announcement of its next owner.
func (s *Session) awaitOwner(i int, outcome broker.Outcome, reason broker.Reason) bool {
	sh := &s.shards[i]
	if s.strategy.Direct || outcome != broker.OutcomeNotRun || !moved(reason) || sh.used == maxAttempts || s.suspect ||
		s.now >= s.deadline/2 {
		return false
	}
	sh.moving = true
	s.push(ownerCheck, i, timerOwner)
	return true
}

// recheckOwner tries a shard again that waits for its servers' next owner.
func (s *Session) recheckOwner(i int) {
	sh := &s.shards[i]
	sh.moving = false
	if sh.live > 0 {
		return
	}
	if s.retry(i, broker.OutcomeNotRun, sh.reason) || s.awaitOwner(i, broker.OutcomeNotRun, sh.reason) {
		return
	}
	s.miss(i, sh.reason)
	s.settle(i, broker.OutcomeNotRun)
}

// mayClear returns whether a suspect may have another attempt after the last one at shard i: the one that it is
// allowed has not been sent or did not run.
func (s *Session) mayClear(i int, outcome broker.Outcome, reason broker.Reason) bool {
	if s.crashes > 1 {
		return false
	}
	return s.clearing < 0 && reason == broker.ReasonCrashed || s.clearing == i && outcome == broker.OutcomeNotRun
}

// retryable returns whether the outcome of an attempt at shard i permits another one.
func (s *Session) retryable(i int, outcome broker.Outcome, reason broker.Reason) bool {
	if s.suspect && !s.mayClear(i, outcome, reason) {
		return false
	}
	switch outcome {
	case broker.OutcomeNotRun:
		return true
	case broker.OutcomeUnknown:
		return s.kind.Idempotent
	case broker.OutcomeFailed:
		return s.kind.Idempotent &&
			(s.strategy.Direct || reason == broker.ReasonMismatch || reason == broker.ReasonCrashed)
	default:
		return false
	}
}
