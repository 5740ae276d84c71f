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
	case !s.hasRoom(sh, server):
		return broker.ReasonLimited
	default:
		return broker.ReasonNone
	}
}

// hasRoom returns whether a server takes another attempt at a shard. A server that states a limit gets no hedges, which
// would take room from requests that have no answer otherwise.
func (s *Session) hasRoom(sh *shard, server *tracker.Server) bool {
	if server.Limited() && sh.inFlight > 0 {
		return false
	}
	return server.HasRoom(s.started.Add(s.now))
}

// returnRoom gives back the room for an attempt that is not sent.
func (s *Session) returnRoom(chosen candidate) {
	if s.strategy.Direct && chosen.server.Limited() {
		chosen.server.ReturnRoom()
	}
}

// lacksRoom returns whether the servers of too many shards take no request now, so that the query cannot reach its
// minimum coverage. Such a query is rejected before it takes room at any server: if each shard refused on its own, most
// queries would take room and fail all the same.
func (s *Session) lacksRoom() bool {
	if !s.strategy.Direct {
		return false
	}
	available, limited := 0, 0
	for i := range s.shards {
		switch fit, room := s.shardRoom(&s.shards[i]); {
		case fit && room == 0:
			available++
		case fit:
			limited++
		}
	}
	return limited > 0 && available < s.neededShards()
}

// shardRoom returns whether any replica of a shard is fit, and how long until one of these takes a request.
func (s *Session) shardRoom(sh *shard) (fit bool, room time.Duration) {
	now := s.started.Add(s.now)
	for _, replica := range sh.tracked.Replicas {
		if s.unfitReason(replica, replica.State()) != broker.ReasonNone || replica.HasLeft(now) {
			continue
		}
		wait := replica.RoomIn(now)
		if !fit || wait < room {
			room = wait
		}
		fit = true
	}
	return fit, room
}

// RoomIn returns how long until the servers of enough shards take a request, for a query that was rejected because they
// do not.
func (s *Session) RoomIn() time.Duration {
	waits := make([]time.Duration, 0, len(s.shards))
	for i := range s.shards {
		if fit, room := s.shardRoom(&s.shards[i]); fit {
			waits = append(waits, room)
		}
	}
	if len(waits) == 0 {
		return 0
	}
	slices.Sort(waits)
	return waits[min(max(s.neededShards(), 1), len(waits))-1]
}
