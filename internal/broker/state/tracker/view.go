package tracker

import (
	"cmp"
	"math"
	"slices"
	"sync/atomic"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/state/indexer"
)

// CanaryQuantile is the quantile of a shard's latency for which a scatter waits for the answer of its canary.
const CanaryQuantile = 0.95

// View joins one configuration table with the live records of its servers; Service takes no lock.
type View struct {
	Table *indexer.Table

	services  map[string]*Service
	positions map[broker.ServerName][]position
}

// position is one occurrence of a server in the configuration.
type position struct {
	service *Service
	shard   int
}

// Service returns the named service, or nil.
func (v *View) Service(name string) *Service { return v.services[name] }

// Service is a service with the live records of its shards.
type Service struct {
	*indexer.Service
	Tracked []Shard // in the order of indexer.Service.Shards

	byName    map[broker.ShardName]int
	snapshots atomic.Pointer[[]SnapshotCoverage]

	counts map[broker.Snapshot]int // number of shards by snapshot, guarded by the tracker's lock
}

// Shard is a shard with the live records of its replicas.
type Shard struct {
	Name     broker.ShardName
	Replicas []Replica
	Latency  *Latency

	snapshots []broker.Snapshot // snapshots of usable replicas, guarded by the tracker's lock
}

// Replica is one server of a shard.
type Replica struct {
	*Server
	// ServesNewWork is whether the server may receive new work under the configuration.
	ServesNewWork bool
}

// SnapshotCoverage is a snapshot with the number of shards that can answer from it.
type SnapshotCoverage struct {
	Snapshot broker.Snapshot
	Shards   int
}

// ShardIndex returns the index of a shard in Tracked, or false if there is none of that name.
func (s *Service) ShardIndex(name broker.ShardName) (int, bool) {
	i, ok := s.byName[name]
	return i, ok
}

// Snapshots returns the snapshots that any shard can answer from, newest first.
func (s *Service) Snapshots() []SnapshotCoverage { return *s.snapshots.Load() }

// BestSnapshot returns the snapshot other than except that covers the most shards, the newest one on a tie, or the zero
// value if there is none. A newer snapshot with less coverage would miss reports that an older one still finds.
func (s *Service) BestSnapshot(except broker.Snapshot) SnapshotCoverage {
	var best SnapshotCoverage
	for _, candidate := range s.Snapshots() {
		if candidate.Snapshot != except && candidate.Shards > best.Shards {
			best = candidate
		}
	}
	return best
}

// NewestSnapshot returns the newest snapshot other than except on a usable replica of the shard, or zero if there is
// none.
func (s *Shard) NewestSnapshot(partitioning uint64, except broker.Snapshot) broker.Snapshot {
	var newest broker.Snapshot
	for _, replica := range s.Replicas {
		state := replica.State()
		if !replica.Usable(state, partitioning) {
			continue
		}
		for _, snapshot := range state.Snapshots {
			if snapshot != except {
				newest = max(newest, snapshot)
			}
		}
	}
	return newest
}

// RequiredShards returns the minimum number of shards, out of total, that reach minCoverage.
func RequiredShards(minCoverage float64, total int) int {
	const rounding = 1e-9 // 0.95 of 20 shards is 19 in spite of the binary representation of 0.95
	return int(math.Ceil(minCoverage*float64(total) - rounding))
}

// Usable reports whether the replica, in the given state, may receive new work of its shard under a partitioning.
func (r Replica) Usable(state *broker.ServerState, partitioning uint64) bool {
	if !r.ServesNewWork || state.Partitioning != partitioning {
		return false
	}
	return state.Phase == broker.PhaseWarm || state.Phase == broker.PhaseRamping || state.Phase == broker.PhaseCold
}

// updateShard recomputes the snapshots of one shard and publishes the snapshots of the service if they changed.
func (s *Service) updateShard(shard int) {
	tracked := &s.Tracked[shard]
	var available []broker.Snapshot
	for _, replica := range tracked.Replicas {
		state := replica.State()
		if !replica.Usable(state, s.Partitioning) {
			continue
		}
		for _, snapshot := range state.Snapshots {
			if !slices.Contains(available, snapshot) {
				available = append(available, snapshot)
			}
		}
	}
	slices.Sort(available)
	if slices.Equal(available, tracked.snapshots) {
		return
	}
	for _, snapshot := range tracked.snapshots {
		s.counts[snapshot]--
		if s.counts[snapshot] == 0 {
			delete(s.counts, snapshot)
		}
	}
	for _, snapshot := range available {
		s.counts[snapshot]++
	}
	tracked.snapshots = available
	s.publishSnapshots()
}

func (s *Service) publishSnapshots() {
	list := make([]SnapshotCoverage, 0, len(s.counts))
	for snapshot, shards := range s.counts {
		list = append(list, SnapshotCoverage{Snapshot: snapshot, Shards: shards})
	}
	slices.SortFunc(list, func(a, b SnapshotCoverage) int { return cmp.Compare(b.Snapshot, a.Snapshot) })
	s.snapshots.Store(&list)
}
