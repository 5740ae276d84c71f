package scatterer

import (
	"github.com/yuccarock/yuccarock/internal/broker"
)

// miss ends a shard without an answer.
func (s *Session) miss(i int, reason broker.Reason) {
	sh := &s.shards[i]
	sh.state = shardMissing
	sh.reason = reason
	s.open--
	if sh.refused {
		s.lost++
	}
}

// drain gives up the shards without any attempt.
func (s *Session) drain(reason broker.Reason) {
	for i := range s.shards {
		if s.shards[i].state == shardHeld {
			s.miss(i, reason)
		}
	}
}

// stop gives up all shards that are not answered.
func (s *Session) stop(reason broker.Reason) {
	for i := range s.shards {
		sh := &s.shards[i]
		if sh.state != shardHeld && sh.state != shardOpen {
			continue
		}
		s.cancel(sh)
		if sh.waiting {
			s.miss(i, sh.reason)
		} else {
			s.miss(i, reason)
		}
	}
}

// rerunDue returns whether too many shards lost the pinned snapshot and a run on another one would do better.
func (s *Session) rerunDue() bool {
	if !s.kind.Idempotent || s.run > 0 || s.finished || s.suspect {
		return false
	}
	left := len(s.shards) - s.lost
	if s.lost == 0 || left > 0 && left >= s.needed() || s.deadline-s.now < s.deadline/rerunShare {
		return false
	}
	return s.pin(s.snapshot).Shards > left
}

// rerun starts the whole query again on another snapshot.
func (s *Session) rerun() {
	for i := range s.shards {
		s.cancel(&s.shards[i])
		s.shards[i] = shard{tracked: s.shards[i].tracked}
	}
	s.snapshot = s.pin(s.snapshot).Snapshot
	s.run++
	s.open = len(s.shards)
	s.answered, s.lost, s.canary = 0, 0, -1
	s.parts = nil
	s.merged.reset()
	s.stats.Reruns++
	s.launch()
}

// finish states the answer to the query.
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
		answer.Reason = commonest(answer.Coverage.Missing)
	}
	answer.Status = s.status()
	s.actions.Finish = answer
}

func (s *Session) status() broker.Status {
	switch {
	case s.answered == len(s.shards):
		return broker.StatusComplete
	case s.answered == 0 && s.notRun == s.stats.Sent:
		return broker.StatusNotRun
	case !s.kind.Idempotent:
		return broker.StatusOutcomeUnknown
	case s.answered < s.needed():
		return broker.StatusInsufficientCoverage
	default:
		return broker.StatusPartial
	}
}

// commonest returns the reason of most missing shards, the first one of several.
func commonest(missing []broker.MissingShard) broker.Reason {
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
