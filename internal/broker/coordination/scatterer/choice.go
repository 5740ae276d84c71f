package scatterer

import (
	"slices"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/state/tracker"
)

// coldShare sends 1 request in 20 of a shard to a cold replica while a warm one is left, so that the cold one
// warms up without setting the latency.
const coldShare = 20

// candidate is a replica that may be chosen, with the state it was judged by.
type candidate struct {
	server *tracker.Server
	state  *broker.ServerState
}

// sample keeps two candidates chosen uniformly from those offered.
type sample struct {
	kept    [2]candidate
	offered int
}

func (s *Session) offer(to *sample, offered candidate) {
	to.offered++
	if to.offered <= len(to.kept) {
		to.kept[to.offered-1] = offered
		return
	}
	if i := s.random.IntN(to.offered); i < len(to.kept) {
		to.kept[i] = offered
	}
}

// least returns the candidate with the fewest outstanding attempts, ties broken by observed latency.
func (s *Session) least(from *sample) candidate {
	if from.offered == 1 {
		return from.kept[0]
	}
	a, b := from.kept[0], from.kept[1]
	loadA, loadB := a.server.Outstanding(), b.server.Outstanding()
	if loadA == loadB {
		loadA, loadB = int64(a.server.Latency()), int64(b.server.Latency())
	}
	if loadA < loadB || loadA == loadB && s.random.IntN(2) == 0 {
		return a
	}
	return b
}

// choose returns the replica for the next attempt at a shard, or else the reason why there is none.
func (s *Session) choose(sh *shard) (candidate, broker.Reason) {
	if s.strategy.Direct {
		return s.chooseDirect(sh)
	}
	var warm, cold sample
	reason := broker.ReasonNoReplica
	for _, replica := range sh.tracked.Replicas {
		var found candidate
		if found, reason = s.consider(sh, replica, reason); found.server == nil {
			continue
		}
		state := found.state
		switch {
		case state.Phase == broker.PhaseWarm:
			s.offer(&warm, found)
		case replica.Outstanding() < int64(state.Limit):
			s.offer(&cold, found)
		default:
			reason = clearest(reason, broker.ReasonCold)
		}
	}
	first := sh.used == 0
	switch {
	case cold.offered > 0 && (warm.offered == 0 || first && s.random.IntN(coldShare) == 0):
		return s.least(&cold), broker.ReasonNone
	case warm.offered > 0:
		return s.least(&warm), broker.ReasonNone
	default:
		return candidate{}, reason
	}
}

// consider returns a replica as a candidate, or none where it is unfit or was tried, with the clearer of the reason so far
// and its own.
func (s *Session) consider(sh *shard, replica tracker.Replica, reason broker.Reason) (candidate, broker.Reason) {
	state := replica.State()
	if refused := s.unfit(replica, state); refused != broker.ReasonNone {
		return candidate{}, clearest(reason, refused)
	}
	if sh.tried(replica.Server, state.Owner) {
		return candidate{}, reason
	}
	return candidate{server: replica.Server, state: state}, reason
}

// unfit returns why a replica cannot serve the pinned snapshot and partitioning, or ReasonNone.
func (s *Session) unfit(replica tracker.Replica, state *broker.ServerState) broker.Reason {
	switch {
	case !replica.ServesNewWork && s.view.Table.ZoneOut(s.view.Table.Server(replica.Name).Zone):
		return broker.ReasonZoneOut
	case !replica.ServesNewWork || state.Phase == broker.PhaseDraining:
		return broker.ReasonDraining
	case state.Phase == broker.PhaseDown || state.Phase == broker.PhaseUnknown:
		return broker.ReasonUnreachable
	case state.Partitioning != s.service.Partitioning:
		return broker.ReasonStalePartition
	case s.snapshot != 0 && !slices.Contains(state.Snapshots, s.snapshot):
		return broker.ReasonSnapshotMissing
	default:
		return broker.ReasonNone
	}
}

// reasonOrder lists the reasons for an empty choice, the one that names a missing shard best last.
var reasonOrder = []broker.Reason{
	broker.ReasonNoReplica, broker.ReasonZoneOut, broker.ReasonDraining, broker.ReasonUnreachable,
	broker.ReasonStalePartition, broker.ReasonSnapshotMissing, broker.ReasonCold,
}

func clearest(a, b broker.Reason) broker.Reason {
	if slices.Index(reasonOrder, a) >= slices.Index(reasonOrder, b) {
		return a
	}
	return b
}
