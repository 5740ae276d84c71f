package scatterer

import (
	"slices"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/state/tracker"
)

// coldOneIn sends 1 in 20 first attempts at a shard to a cold replica while a warm one is available, so that cold
// replicas warm up with little effect on latency.
const coldOneIn = 20

// candidate is a replica that may be chosen, with the server state it was evaluated with.
type candidate struct {
	server *tracker.Server
	state  *broker.ServerState
}

// sample is a uniform random sample of two of the candidates offered to it.
type sample struct {
	kept    [2]candidate
	offered int
}

func (s *Session) addCandidate(to *sample, offered candidate) {
	to.offered++
	if to.offered <= len(to.kept) {
		to.kept[to.offered-1] = offered
		return
	}
	if i := s.random.IntN(to.offered); i < len(to.kept) {
		to.kept[i] = offered
	}
}

// leastLoaded returns the sampled candidate with the fewest outstanding attempts; ties are broken by observed latency.
func (s *Session) leastLoaded(from *sample) candidate {
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

// chooseReplica returns the replica for the next attempt at a shard, or the reason why there is none.
func (s *Session) chooseReplica(sh *shard) (candidate, broker.Reason) {
	if s.strategy.Direct {
		return s.chooseDirect(sh)
	}
	var warm, cold sample
	reason := broker.ReasonNoReplica
	for _, replica := range sh.tracked.Replicas {
		var found candidate
		if found, reason = s.evaluateReplica(sh, replica, reason); found.server == nil {
			continue
		}
		state := found.state
		switch {
		case state.Phase == broker.PhaseWarm:
			s.addCandidate(&warm, found)
		case replica.Outstanding() < int64(state.Limit):
			s.addCandidate(&cold, found)
		default:
			reason = moreSpecific(reason, broker.ReasonCold)
		}
	}
	first := sh.attemptCount == 0
	switch {
	case cold.offered > 0 && (warm.offered == 0 || first && s.random.IntN(coldOneIn) == 0):
		return s.leastLoaded(&cold), broker.ReasonNone
	case warm.offered > 0:
		return s.leastLoaded(&warm), broker.ReasonNone
	default:
		return candidate{}, reason
	}
}

// evaluateReplica returns a replica as a candidate, or an empty candidate if the replica is unfit or was tried already.
// The returned reason is the more specific one of reason and that of the replica.
func (s *Session) evaluateReplica(sh *shard, replica tracker.Replica, reason broker.Reason) (candidate, broker.Reason) {
	state := replica.State()
	if refused := s.unfitReason(replica, state); refused != broker.ReasonNone {
		return candidate{}, moreSpecific(reason, refused)
	}
	if sh.tried(replica.Server, state.Owner) {
		return candidate{}, reason
	}
	return candidate{server: replica.Server, state: state}, reason
}

// unfitReason returns why a replica cannot serve the pinned snapshot and partitioning, or ReasonNone if it can.
func (s *Session) unfitReason(replica tracker.Replica, state *broker.ServerState) broker.Reason {
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

// reasonsBySpecificity lists the reasons why no replica was chosen, the most specific one last.
var reasonsBySpecificity = []broker.Reason{
	broker.ReasonNoReplica, broker.ReasonZoneOut, broker.ReasonDraining, broker.ReasonUnreachable,
	broker.ReasonStalePartition, broker.ReasonSnapshotMissing, broker.ReasonCold, broker.ReasonLimited,
}

func moreSpecific(a, b broker.Reason) broker.Reason {
	if slices.Index(reasonsBySpecificity, a) >= slices.Index(reasonsBySpecificity, b) {
		return a
	}
	return b
}
