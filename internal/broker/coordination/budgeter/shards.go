package budgeter

import (
	"sync"

	"github.com/yuccarock/yuccarock/internal/broker"
)

const (
	// hostMargin is the part of the allowed further attempts that hosts use. The rest covers windows in which requests of
	// one host earn what another has spent.
	hostMargin = 0.85
	// spareHosts are counted beside the hosts that serve callers, because one that takes over brings a budget of its own.
	spareHosts = 1
)

// HostShare returns what each request earns at a host, of the share that all hosts together may send further.
func HostShare(share float64) float64 { return share * hostMargin }

// HostBurst returns one host's part of the further attempts that all hosts together may send beside that share.
func HostBurst(slack, hosts int) int {
	return max(1, int(float64(slack)*hostMargin)/(hosts+spareHosts))
}

// Shards holds one budget for each shard, whatever the request kind, as hosts have to keep the sum of all further
// attempts at a service within a share of its requests and a slack.
type Shards struct {
	mu      sync.Mutex
	share   float64
	burst   int
	budgets map[broker.ShardName]*Budget
}

// NewShards returns budgets that earn share tokens per request and save at most burst tokens each.
func NewShards(share float64, burst int) *Shards {
	return &Shards{share: share, burst: burst, budgets: map[broker.ShardName]*Budget{}}
}

// SetBurst changes how many tokens each budget may save, as when the number of hosts that share the slack changes.
func (s *Shards) SetBurst(burst int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if burst == s.burst {
		return
	}
	s.burst = burst
	for _, budget := range s.budgets {
		budget.setBurst(burst)
	}
}

// SetShare changes how many tokens each request earns.
func (s *Shards) SetShare(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.share = share
	for _, budget := range s.budgets {
		budget.setShare(share)
	}
}

// Shard returns the budget of a shard.
func (s *Shards) Shard(name broker.ShardName) *Budget {
	s.mu.Lock()
	defer s.mu.Unlock()
	budget := s.budgets[name]
	if budget == nil {
		budget = NewFixedBudget(s.share, s.burst)
		s.budgets[name] = budget
	}
	return budget
}
