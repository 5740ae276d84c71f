package scatterer

import (
	"slices"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/state/tracker"
)

// withheldReason returns why a server gets no attempt at a shard by what it states about itself, or ReasonNone if it may.
func (s *Session) withheldReason(sh *shard, server *tracker.Server) broker.Reason {
	switch {
	case server.HasLeft(s.started.Add(s.now)):
		return broker.ReasonDraining
	case !s.isAvailable(sh, server):
		return broker.ReasonLimited
	default:
		return broker.ReasonNone
	}
}

// isAvailable returns whether a server takes another attempt at a shard. A server that states a limit gets no hedges,
// which would use up the limit for requests that have another attempt.
func (s *Session) isAvailable(sh *shard, server *tracker.Server) bool {
	if server.Limited() && sh.inFlight > 0 {
		return false
	}
	return server.Available(s.started.Add(s.now))
}

// returnToken gives back the token for an attempt that is not sent.
func (s *Session) returnToken(chosen candidate) {
	if s.strategy.Direct && chosen.server.Limited() {
		chosen.server.ReturnToken()
	}
}

// lacksServers returns whether the servers of too many shards take no request now, so that the query cannot reach its
// minimum coverage. Such a query is rejected before it uses the limit of any server: if each shard refused on its own,
// most queries would use up limits and fail all the same.
func (s *Session) lacksServers() bool {
	if !s.strategy.Direct || !s.anyRestricted() {
		return false
	}
	available, restricted := 0, 0
	for i := range s.shards {
		switch fit, wait := s.shardAvailableIn(&s.shards[i]); {
		case fit && wait == 0:
			available++
		case fit:
			restricted++
		}
	}
	return restricted > 0 && available < s.neededShards()
}

// anyRestricted returns whether any server of the query states a limit or a pause.
func (s *Session) anyRestricted() bool {
	now := s.started.Add(s.now)
	for i := range s.shards {
		for _, replica := range s.shards[i].tracked.Replicas {
			if replica.Limited() || replica.Paused(now) {
				return true
			}
		}
	}
	return false
}

// shardAvailableIn returns whether any replica of a shard is fit, and how long until one of these takes a request.
func (s *Session) shardAvailableIn(sh *shard) (fit bool, wait time.Duration) {
	now := s.started.Add(s.now)
	for _, replica := range sh.tracked.Replicas {
		if s.unfitReason(replica, replica.State()) != broker.ReasonNone || replica.HasLeft(now) {
			continue
		}
		if next := replica.AvailableIn(now); !fit || next < wait {
			wait = next
		}
		fit = true
	}
	return fit, wait
}

// AvailableIn returns how long until the servers of enough shards take a request, for a query that was rejected because
// they do not.
func (s *Session) AvailableIn() time.Duration {
	waits := make([]time.Duration, 0, len(s.shards))
	for i := range s.shards {
		if fit, wait := s.shardAvailableIn(&s.shards[i]); fit {
			waits = append(waits, wait)
		}
	}
	if len(waits) == 0 {
		return 0
	}
	slices.Sort(waits)
	return waits[min(max(s.neededShards(), 1), len(waits))-1]
}
