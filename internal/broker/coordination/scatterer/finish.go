package scatterer

import (
	"github.com/yuccarock/yuccarock/internal/broker"
)

// markMissing marks a shard as missing from the answer.
func (s *Session) markMissing(i int, reason broker.Reason) {
	sh := &s.shards[i]
	sh.state = shardMissing
	sh.reason = reason
	s.unresolved--
	if sh.snapshotMissing {
		s.snapshotMisses++
	}
}

// markUnstartedMissing marks the shards without any attempt as missing.
func (s *Session) markUnstartedMissing(reason broker.Reason) {
	for i := range s.shards {
		if s.shards[i].state == shardUnstarted {
			s.markMissing(i, reason)
		}
	}
}

// stopUnanswered cancels all attempts in flight and marks the shards that have not answered as missing.
func (s *Session) stopUnanswered(reason broker.Reason) {
	for i := range s.shards {
		sh := &s.shards[i]
		if sh.state != shardUnstarted && sh.state != shardStarted {
			continue
		}
		s.cancelAttempts(sh)
		if sh.awaitingCapacity {
			s.markMissing(i, sh.reason)
		} else {
			s.markMissing(i, reason)
		}
	}
}

// needsRerun returns whether too few shards still have the pinned snapshot and more of them have another one. A canary
// in flight is awaited first, because a cancelled one may go on running.
func (s *Session) needsRerun() bool {
	if !s.kind.Idempotent || s.run > 0 || s.finished || s.suspect || s.awaitsCanary() {
		return false
	}
	available := len(s.shards) - s.snapshotMisses
	if s.snapshotMisses == 0 || available > 0 && available >= s.neededShards() || s.deadline-s.now < s.deadline/rerunDivisor {
		return false
	}
	return s.bestSnapshot(s.snapshot).Shards > available
}

// rerun restarts the whole query on another snapshot.
func (s *Session) rerun() {
	for i := range s.shards {
		s.cancelAttempts(&s.shards[i])
		s.shards[i] = shard{tracked: s.shards[i].tracked}
	}
	s.snapshot = s.bestSnapshot(s.snapshot).Snapshot
	s.run++
	s.unresolved = len(s.shards)
	s.answered, s.snapshotMisses, s.canaryShard, s.secondCanary = 0, 0, -1, -1
	s.parts = nil
	s.merged.reset()
	s.stats.Reruns++
	s.startAttempts()
}

// finish sets the answer to the query.
func (s *Session) finish() {
	if s.finished {
		return
	}
	s.finished = true
	answer := &broker.Answer{
		RequestID: s.request.Query.RequestID,
		Snapshot:  s.snapshot,
		Revision:  s.view.Table.Revision,
		Coverage:  broker.Coverage{ShardsTotal: len(s.shards), ShardsAnswered: s.answered},
		Hits:      s.merged.result(),
	}
	if missing := len(s.shards) - s.answered; missing > 0 {
		answer.Coverage.Missing = make([]broker.MissingShard, 0, missing)
		for i := range s.shards {
			if sh := &s.shards[i]; sh.state == shardMissing {
				answer.Coverage.Missing = append(answer.Coverage.Missing,
					broker.MissingShard{Shard: sh.tracked.Name, Reason: sh.reason})
			}
		}
		answer.Reason = mostCommonReason(answer.Coverage.Missing)
	}
	answer.Status = s.status()
	s.actions.Finish = answer
}

func (s *Session) status() broker.Status {
	switch {
	case s.answered == len(s.shards):
		return broker.StatusComplete
	case s.answered == 0 && s.attemptsNotRun == s.stats.Sent:
		return broker.StatusNotRun
	case !s.kind.Idempotent:
		return broker.StatusOutcomeUnknown
	case s.answered < s.neededShards():
		return broker.StatusInsufficientCoverage
	default:
		return broker.StatusPartial
	}
}

// mostCommonReason returns the reason shared by most missing shards; the first one wins a tie.
func mostCommonReason(missing []broker.MissingShard) broker.Reason {
	counts := make(map[broker.Reason]int, 1)
	best := broker.ReasonNone
	for _, shard := range missing {
		counts[shard.Reason]++
	}
	for _, shard := range missing {
		if counts[shard.Reason] > counts[best] {
			best = shard.Reason
		}
	}
	return best
}
