package budgeter

import (
	"sync"

	"github.com/yuccarock/yuccarock/internal/broker"
)

const (
	// hostMargin is the part of the allowed hedges and retries that hosts use. The rest covers time windows in which one
	// host is credited the tokens that another has spent.
	hostMargin = 0.85
	// spareHosts is added to the number of hosts that serve callers, because a host that takes over brings its own budget.
	spareHosts = 1
)

// HostShare returns the tokens credited per request at each host, given the share of hedges and retries that all hosts
// together may send.
func HostShare(share float64) float64 { return share * hostMargin }

// HostBurst returns the burst of one host in tokens; slack is the number of hedges and retries that all hosts together
// may send beyond the share.
func HostBurst(slack, hosts int) int {
	return max(1, int(float64(slack)*hostMargin)/(hosts+spareHosts))
}

// Shards holds one budget per shard for all request kinds, because hosts have to keep the sum of all hedges and retries
// at a service within a share of its requests plus a slack.
type Shards struct {
	mu      sync.Mutex
	share   float64
	burst   int
	budgets map[broker.ShardName]*Budget
}

// NewShards returns budgets that are credited share tokens per request and hold at most burst tokens each.
func NewShards(share float64, burst int) *Shards {
	return &Shards{share: share, burst: burst, budgets: map[broker.ShardName]*Budget{}}
}

// SetBurst changes the maximum of each budget, for example when the number of hosts that share the slack changes.
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

// SetShare changes the number of tokens credited per request.
func (s *Shards) SetShare(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.share = share
	for _, budget := range s.budgets {
		budget.setShare(share)
	}
}

// Shard returns the budget of a shard, which is created on first use.
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
