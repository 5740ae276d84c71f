package scatterer

import (
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
)

// ownerRetryDelay is the delay before a shard is retried while its servers change owners; a planned handover takes a
// few tens of milliseconds.
const ownerRetryDelay = 20 * time.Millisecond

// Answer processes the answer to an attempt; an answer that does not match its attempt is counted and never merged. The
// tracker has to be updated before a notOwner refusal is passed in, so that a retry goes to another owner.
func (s *Session) Answer(now time.Time, answer *broker.SubAnswer) Actions {
	if !s.beginEvent(now) {
		s.stats.Drops[DropLate]++
		return s.actions
	}
	i, slot, ok := s.matchAttempt(answer)
	if !ok {
		return s.endEvent()
	}
	switch {
	case answer.Outcome != broker.OutcomeAnswered:
		s.failAttempt(i, slot, answer.Outcome, answer.Reason)
	case answer.Snapshot != s.snapshot:
		s.stats.Drops[DropForeignSnapshot]++
		s.failAttempt(i, slot, broker.OutcomeUnknown, broker.ReasonMismatch)
	case answer.Partitioning != s.service.Partitioning:
		s.stats.Drops[DropForeignPartitioning]++
		s.failAttempt(i, slot, broker.OutcomeUnknown, broker.ReasonMismatch)
	default:
		s.accept(i, slot, answer.Hits)
	}
	return s.endEvent()
}

// AnswerOpaque processes the answer to an attempt of an opaque request; opaque is the answer of the backend server. If
// answer.Latency is set, it replaces the time since the attempt was sent as the observed latency.
func (s *Session) AnswerOpaque(now time.Time, answer *broker.SubAnswer, opaque *broker.OpaqueAnswer) Actions {
	s.currentOpaque, s.exchangeLatency = opaque, answer.Latency
	defer func() { s.currentOpaque, s.exchangeLatency = nil, 0 }()
	return s.Answer(now, answer)
}

// Parts returns the accepted answers to an opaque request in order of arrival.
func (s *Session) Parts() []*broker.OpaqueAnswer { return s.parts }

// matchAttempt returns the shard position and the slot of the attempt in flight that an answer belongs to.
func (s *Session) matchAttempt(answer *broker.SubAnswer) (i, slot int, ok bool) {
	drop := func(reason Drop) (int, int, bool) {
		s.stats.Drops[reason]++
		return 0, 0, false
	}
	if answer.RequestID != s.request.Query.RequestID {
		return drop(DropForeignRequest)
	}
	position, ok := s.service.ShardIndex(answer.Shard)
	i = position - s.firstShard
	if !ok || i < 0 || i >= len(s.shards) {
		return drop(DropForeignShard)
	}
	sh := &s.shards[i]
	first := s.attemptNumber(0)
	if answer.Attempt != 0 && answer.Attempt < first {
		return drop(DropLate)
	}
	slot = int(answer.Attempt) - int(first)
	if slot < 0 || slot >= int(sh.attemptCount) {
		return drop(DropForeignAttempt)
	}
	a := &sh.attempts[slot]
	switch {
	case a.server.Name != answer.Server:
		return drop(DropForeignServer)
	case a.state == attemptEnded:
		return drop(DropDuplicate)
	case a.state == attemptCancelled:
		return drop(DropLate)
	}
	return i, slot, true
}

// accept merges the answer to an attempt and cancels the other attempts at the shard.
func (s *Session) accept(i, slot int, hits []broker.Hit) {
	sh := &s.shards[i]
	a := &sh.attempts[slot]
	s.endAttempt(sh, slot, attemptEnded)
	elapsed := s.now - a.sent
	if s.exchangeLatency > 0 {
		elapsed = min(elapsed, s.exchangeLatency)
	}
	sh.tracked.Latency.Record(s.started.Add(s.now), elapsed)
	a.server.Observe(elapsed)
	if a.hedge {
		s.stats.HedgeWins++
	}
	s.cancelAttempts(sh)
	s.merged.add(sh.tracked.Name, hits)
	if s.currentOpaque != nil {
		s.parts = append(s.parts, s.currentOpaque)
	}
	sh.state = shardAnswered
	s.answered++
	s.unresolved--
	s.anyAnswered = true
	if s.trialShard == i && s.crashes == 1 {
		s.suspect, s.trialShard = false, -1
		s.startRemaining()
	} else if s.isCanary(i) {
		s.startRemaining()
	}
	s.stopIfCovered()
}

// endAttempt marks an attempt as no longer in flight.
func (s *Session) endAttempt(sh *shard, slot int, state attemptState) {
	a := &sh.attempts[slot]
	a.state = state
	a.server.End()
	sh.inFlight--
}

// cancelAttempts cancels the attempts in flight at a shard.
func (s *Session) cancelAttempts(sh *shard) {
	for slot := range sh.attempts[:sh.attemptCount] {
		if sh.attempts[slot].state == attemptInFlight {
			s.cancelAttempt(sh, slot)
		}
	}
}

func (s *Session) cancelAttempt(sh *shard, slot int) {
	a := &sh.attempts[slot]
	s.endAttempt(sh, slot, attemptCancelled)
	// Record the elapsed time of cancelled stragglers; otherwise the quantile drops and hedges are sent too early. An
	// elapsed time below the quantile carries no information.
	if elapsed := s.now - a.sent; elapsed >= s.latencyQuantile(sh, s.kind.HedgeQuantile) {
		sh.tracked.Latency.Record(s.started.Add(s.now), elapsed)
	}
	s.stats.Cancels++
	s.actions.Cancels = append(s.actions.Cancels, Cancel{Owner: a.owner, Cancel: &broker.Cancel{
		RequestID: s.request.Query.RequestID,
		Shard:     sh.tracked.Name,
		Attempt:   s.attemptNumber(slot),
	}})
}

// failAttempt ends an attempt without an answer. The shard continues with another attempt in flight or a retry, or is
// missing.
func (s *Session) failAttempt(i, slot int, outcome broker.Outcome, reason broker.Reason) {
	sh := &s.shards[i]
	s.endAttempt(sh, slot, attemptEnded)
	sh.reason = reason
	crashed := outcome != broker.OutcomeNotRun && reason == broker.ReasonCrashed
	switch {
	case outcome == broker.OutcomeNotRun:
		s.attemptsNotRun++
		sh.attempts[slot].notRun = true
		sh.attempts[slot].tryOtherOwner = tryOtherOwner(reason)
		sh.snapshotMissing = sh.snapshotMissing || reason == broker.ReasonSnapshotMissing
	case crashed:
		s.stats.Crashes++
		s.crashes++
		s.suspect = true
		s.countCanaryAsTrial(i)
	}
	switch {
	case outcome == broker.OutcomeNotRun && reason == broker.ReasonQuarantined:
		s.stopUnanswered(reason)
	case sh.inFlight > 0:
		// The other attempt in flight decides. After the first crash it counts as the one trial that a suspect is allowed.
		if crashed && s.crashes == 1 {
			s.trialShard = i
		}
	case s.retry(i, outcome, reason):
	case s.awaitOwner(i, outcome, reason):
	case s.awaitTrial(i):
	default:
		s.markMissing(i, reason)
		s.resolveUnstarted(i, outcome)
	}
	if s.crashes > 1 {
		s.markUnstartedMissing(broker.ReasonCrashed)
	}
}

// resolveUnstarted starts or gives up the unstarted shards after shard i became missing.
func (s *Session) resolveUnstarted(i int, outcome broker.Outcome) {
	switch {
	case s.suspect && (s.trialShard < 0 || s.trialShard == i):
		s.markUnstartedMissing(broker.ReasonCrashed)
	case s.isCanary(i):
		s.endCanary(i, outcome)
	}
}

// tryOtherOwner returns whether another node may own or reach a server after a refusal for this reason.
func tryOtherOwner(reason broker.Reason) bool {
	switch reason {
	case broker.ReasonNotOwner, broker.ReasonLeaseLapsed, broker.ReasonLeaving, broker.ReasonUnreachable:
		return true
	default:
		return false
	}
}

// retry sends another attempt at a shard if the last outcome, the replicas and the budget permit one.
func (s *Session) retry(i int, outcome broker.Outcome, reason broker.Reason) bool {
	sh := &s.shards[i]
	if s.attemptsExhausted(sh) || !s.retryable(i, outcome, reason) {
		return false
	}
	chosen, unavailable := s.chooseReplica(sh)
	if unavailable != broker.ReasonNone {
		return false
	}
	// The budget limits extra load on backend servers. An attempt refused by a node, or withheld by a host that sends itself,
	// never reached one, and during a planned handover a share of all attempts is refused.
	exempt := outcome == broker.OutcomeNotRun && (tryOtherOwner(reason) || s.strategy.Direct && reason.Withheld())
	if !exempt && !s.takeRetryToken(sh) {
		s.returnToken(chosen)
		s.stats.RetriesDenied++
		return false
	}
	if s.suspect {
		s.trialShard = i
	}
	s.stats.Retries++
	s.sendAttempt(i, chosen, false)
	return true
}

func (s *Session) takeRetryToken(sh *shard) bool {
	if budget := s.shardBudget(sh); budget != nil {
		return budget.TryWithdraw()
	}
	return s.budgets.Retries.TryWithdraw()
}

// awaitOwner schedules another try of a shard after nodes refused its attempts, as happens between the release of a
// server and the announcement of its next owner. It returns false if the shard is not to wait.
func (s *Session) awaitOwner(i int, outcome broker.Outcome, reason broker.Reason) bool {
	sh := &s.shards[i]
	if s.strategy.Direct || outcome != broker.OutcomeNotRun || !tryOtherOwner(reason) ||
		sh.attemptCount == maxAttempts || s.suspect || s.now >= s.deadline/2 {
		return false
	}
	sh.awaitingOwner = true
	s.schedule(ownerRetryDelay, i, timerRetryOwner)
	return true
}

// retryOwner retries a shard that waits for the next owner of its servers.
func (s *Session) retryOwner(i int) {
	sh := &s.shards[i]
	sh.awaitingOwner = false
	if sh.inFlight > 0 {
		return
	}
	if s.retry(i, broker.OutcomeNotRun, sh.reason) || s.awaitOwner(i, broker.OutcomeNotRun, sh.reason) {
		return
	}
	s.markMissing(i, sh.reason)
	s.resolveUnstarted(i, broker.OutcomeNotRun)
}

// mayRunTrial returns whether a suspect may have another attempt after the last one at shard i, because its one trial
// has not been sent or did not run.
func (s *Session) mayRunTrial(i int, outcome broker.Outcome, reason broker.Reason) bool {
	if s.crashes > 1 {
		return false
	}
	return s.trialShard < 0 && reason == broker.ReasonCrashed || s.trialShard == i && outcome == broker.OutcomeNotRun
}

// retryable returns whether another attempt is permitted after the outcome of one at shard i.
func (s *Session) retryable(i int, outcome broker.Outcome, reason broker.Reason) bool {
	if s.suspect && !s.mayRunTrial(i, outcome, reason) {
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
