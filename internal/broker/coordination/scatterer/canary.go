package scatterer

import (
	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/state/tracker"
	"github.com/yuccarock/yuccarock/pkg/configurator"
)

// needsCanary returns whether the query has to be survived by one server before it goes to all shards.
func (s *Session) needsCanary() bool {
	if s.suspect {
		return true
	}
	if s.anyAnswered || len(s.shards) < 2 {
		return false
	}
	return s.kind.Canary == configurator.CanaryAlways ||
		s.kind.Canary == configurator.CanaryUnseen && !s.request.Seen
}

// sendCanary sends the first attempt at one unstarted shard and sets its position, or returns the reasons why no shard
// has a replica for it. Equal requests go to the shards in the same order, whichever host they enter at, so that their
// canaries meet at one owner.
func (s *Session) sendCanary(position *int) (reasons []broker.Reason) {
	first := int(uint64(s.request.Fingerprint) % uint64(len(s.shards)))
	for offset := range s.shards {
		i := (first + offset) % len(s.shards)
		sh := &s.shards[i]
		if sh.state != shardUnstarted {
			continue
		}
		chosen, reason := s.chooseCanaryReplica(sh)
		if reason != broker.ReasonNone {
			sh.reason = reason
			reasons = append(reasons, reason)
			continue
		}
		*position = i
		sh.state = shardStarted
		s.stats.Canaries++
		s.sendAttempt(i, chosen, false)
		s.depositBudgets(1)
		return nil
	}
	return reasons
}

func (s *Session) scheduleSecondCanary() {
	delay := s.latencyQuantile(&s.shards[s.canaryShard], tracker.CanaryQuantile)
	s.schedule(delay, s.canaryShard, timerSecondCanary)
}

// sendSecondCanary sends a canary to another shard while the first one is slow, so that one slow server does not delay
// the whole query. The other shards go on waiting: a server that has crashed is slow too until its owner knows.
func (s *Session) sendSecondCanary() {
	if s.suspect {
		return
	}
	s.sendCanary(&s.secondCanary)
	if s.secondCanary < 0 {
		s.schedule(s.deadline/recheckDivisor, s.canaryShard, timerSecondCanary)
	}
}

// awaitsCanary returns whether the shards without an attempt wait for the answer to a canary.
func (s *Session) awaitsCanary() bool { return s.canaryShard >= 0 }

// isCanary returns whether shard i has a canary that has neither answered nor failed.
func (s *Session) isCanary(i int) bool { return i == s.canaryShard || i == s.secondCanary }

// endCanary continues after the shard of a canary became missing: with all shards if the server is known to have survived
// the request, otherwise with the other canary or a new one.
func (s *Session) endCanary(i int, outcome broker.Outcome) {
	other := s.secondCanary
	if i == s.secondCanary {
		other = s.canaryShard
	}
	s.canaryShard, s.secondCanary = other, -1
	switch {
	case outcome == broker.OutcomeFailed:
		s.startRemaining()
	case other >= 0:
		s.scheduleSecondCanary()
	default:
		s.startAttempts()
	}
}

// chooseCanaryReplica returns the replica for the first attempt of a canary at a shard, or the reason why there is none.
// Equal requests prefer the same replica, whichever host they enter at.
func (s *Session) chooseCanaryReplica(sh *shard) (candidate, broker.Reason) {
	replicas := sh.tracked.Replicas
	reason := broker.ReasonNoReplica
	var chosen candidate
	rest := uint64(s.request.Fingerprint) / uint64(len(s.shards)) // independent of the choice of the shard
	for offset := range replicas {
		first := int(rest % uint64(len(replicas)))
		replica := replicas[(first+offset)%len(replicas)]
		var found candidate
		if found, reason = s.evaluateReplica(sh, replica, reason); found.server == nil {
			continue
		}
		switch {
		case found.state.Phase == broker.PhaseWarm:
			return found, broker.ReasonNone
		case chosen.server != nil:
		case replica.Outstanding() < int64(found.state.Limit):
			chosen = found
		default:
			reason = moreSpecific(reason, broker.ReasonCold)
		}
	}
	if chosen.server == nil {
		return candidate{}, reason
	}
	return chosen, broker.ReasonNone
}

// countCanaryAsTrial makes the other canary in flight the one trial that a suspect is allowed, after a canary crashed
// the server of shard i.
func (s *Session) countCanaryAsTrial(i int) {
	if s.crashes != 1 || s.secondCanary < 0 || !s.isCanary(i) {
		return
	}
	s.trialShard = s.canaryShard + s.secondCanary - i
	s.canaryShard, s.secondCanary = s.trialShard, -1
}

// awaitTrial lets shard i wait for the trial that runs at another shard; it is retried if the trial clears the request.
func (s *Session) awaitTrial(i int) bool {
	sh := &s.shards[i]
	if !s.suspect || s.crashes > 1 || s.trialShard < 0 || s.trialShard == i || s.attemptsExhausted(sh) ||
		!s.takeRetryToken(sh) {
		return false
	}
	s.stats.Retries++
	sh.state = shardUnstarted
	return true
}
