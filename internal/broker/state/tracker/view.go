package tracker

import (
	"cmp"
	"math"
	"slices"
	"sync/atomic"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/state/indexer"
)

// CanaryQuantile is the quantile of a shard's latency that a scatter waits for its canary.
const CanaryQuantile = 0.95

// View joins one configuration table with the live records of its servers; lookups take no lock.
type View struct {
	Table *indexer.Table

	services map[string]*Service
	places   map[broker.ServerName][]place
}

// place is one position of a server in the configuration.
type place struct {
	service *Service
	shard   int
}

// Service returns the service of that name, or nil.
func (v *View) Service(name string) *Service { return v.services[name] }

// Service is a service with the live records of its shards.
type Service struct {
	*indexer.Service
	Tracked []Shard // in the order of Shards

	byName    map[broker.ShardName]int
	snapshots atomic.Pointer[[]SnapshotCoverage]

	counts map[broker.Snapshot]int // shards that hold a snapshot, guarded by the tracker's lock
}

// Shard is a shard with the live records of its replicas.
type Shard struct {
	Name     broker.ShardName
	Replicas []Replica
	Latency  *Latency

	held []broker.Snapshot // snapshots of usable replicas, guarded by the tracker's lock
}

// Replica is one server of a shard.
type Replica struct {
	*Server
	// Serves is whether the configuration gives new work to the server.
	Serves bool
}

// SnapshotCoverage is a snapshot with the number of shards that can answer from it.
type SnapshotCoverage struct {
	Snapshot broker.Snapshot
	Shards   int
}

// Index returns the position of a shard, or false.
func (s *Service) Index(name broker.ShardName) (int, bool) {
	i, ok := s.byName[name]
	return i, ok
}

// Snapshots returns the snapshots that any shard can answer from, newest first.
func (s *Service) Snapshots() []SnapshotCoverage { return *s.snapshots.Load() }

// Pin returns the snapshot other than except that covers the most shards, the newest of equal ones, or zero where
// there is none. A newer snapshot with less coverage would drop reports that an older one still finds.
func (s *Service) Pin(except broker.Snapshot) SnapshotCoverage {
	var best SnapshotCoverage
	for _, held := range s.Snapshots() {
		if held.Snapshot != except && held.Shards > best.Shards {
			best = held
		}
	}
	return best
}

// Newest returns the newest snapshot other than except that a usable replica of the shard holds, or zero.
func (s *Shard) Newest(partitioning uint64, except broker.Snapshot) broker.Snapshot {
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

// Needed returns the fewest of total shards that reach minCoverage.
func Needed(minCoverage float64, total int) int {
	const rounding = 1e-9 // keeps 0.95 of 20 shards at 19 in spite of binary fractions
	return int(math.Ceil(minCoverage*float64(total) - rounding))
}

// Usable returns whether a replica may receive new work of its shard under a partitioning.
func (r Replica) Usable(state *broker.ServerState, partitioning uint64) bool {
	if !r.Serves || state.Partitioning != partitioning {
		return false
	}
	return state.Phase == broker.PhaseWarm || state.Phase == broker.PhaseRamping || state.Phase == broker.PhaseCold
}

// update recomputes the snapshots of one shard and publishes those of the service where they changed.
func (s *Service) update(shard int) {
	tracked := &s.Tracked[shard]
	var held []broker.Snapshot
	for _, replica := range tracked.Replicas {
		state := replica.State()
		if !replica.Usable(state, s.Partitioning) {
			continue
		}
		for _, snapshot := range state.Snapshots {
			if !slices.Contains(held, snapshot) {
				held = append(held, snapshot)
			}
		}
	}
	slices.Sort(held)
	if slices.Equal(held, tracked.held) {
		return
	}
	for _, snapshot := range tracked.held {
		s.counts[snapshot]--
		if s.counts[snapshot] == 0 {
			delete(s.counts, snapshot)
		}
	}
	for _, snapshot := range held {
		s.counts[snapshot]++
	}
	tracked.held = held
	s.publish()
}

func (s *Service) publish() {
	list := make([]SnapshotCoverage, 0, len(s.counts))
	for snapshot, shards := range s.counts {
		list = append(list, SnapshotCoverage{Snapshot: snapshot, Shards: shards})
	}
	slices.SortFunc(list, func(a, b SnapshotCoverage) int { return cmp.Compare(b.Snapshot, a.Snapshot) })
	s.snapshots.Store(&list)
}
