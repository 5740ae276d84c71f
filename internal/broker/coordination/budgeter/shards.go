package budgeter

import (
	"sync"
	"time"

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

// Allotment is what one host may use of the slack, which is the number of hedges and retries that all hosts together may send
// beyond the share.
type Allotment struct {
	// Burst is the most tokens of a budget.
	Burst int
	// Start is the number of tokens that a budget gets in the first Window in which the host serves callers.
	Start float64
	// Window is the time within which the slack applies.
	Window time.Duration
}

// HostAllotment returns the allotment of each of a number of hosts that serve callers, given the slack within a window.
//
// The bursts are spent at most once in a window, because a process starts without tokens. The rest of the slack is for processes
// that start: each gets it over a window, so that a series of starts in place of one host gets no more than one start.
func HostAllotment(slack, hosts int, window time.Duration) Allotment {
	burst := max(1, int(float64(slack)*hostMargin)/(hosts+spareHosts))
	rest := max(0, float64(slack)/float64(hosts)-float64(burst))
	return Allotment{Burst: burst, Start: min(float64(burst)/2, rest), Window: window}
}

// Shards holds one budget per shard for all request kinds, because hosts have to keep the sum of all hedges and retries
// at a service within a share of its requests plus a slack.
type Shards struct {
	mu        sync.Mutex
	share     float64
	allotment Allotment
	first     bool // the whole system starts for the first time
	serving   bool
	since     time.Time // start of serving
	granted   int64     // credited to each budget since then, in units of tokens
	budgets   map[broker.ShardName]*Budget
}

// NewShards returns budgets that are credited share tokens per request. They are empty, and Serve credits the tokens of a start.
func NewShards(share float64, allotment Allotment) *Shards {
	return &Shards{share: share, allotment: allotment, budgets: map[broker.ShardName]*Budget{}}
}

// SetFirstStart has the budgets begin half full, because no other process has used any of the slack when the whole system starts
// for the first time. It is called before Serve.
func (s *Shards) SetFirstStart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.first = true
}

// SetAllotment changes the allotment, for example when the number of hosts that share the slack changes.
func (s *Shards) SetAllotment(allotment Allotment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if allotment == s.allotment {
		return
	}
	s.allotment = allotment
	for _, budget := range s.budgets {
		budget.setBurst(allotment.Burst)
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

// Serve credits the tokens that are due at now to a host that serves callers. It is called regularly.
func (s *Shards) Serve(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.serving {
		s.serving, s.since, s.granted = true, now, 0
	}
	tokens := s.allotment.Start * min(1, float64(now.Sub(s.since))/float64(max(s.allotment.Window, 1)))
	if s.first {
		tokens = float64(s.allotment.Burst) / 2
	}
	due := int64(tokens * tokenUnit)
	if due <= s.granted {
		return
	}
	for _, budget := range s.budgets {
		budget.credit(due - s.granted)
	}
	s.granted = due
}

// Rest takes the tokens from a host that does not serve callers any more, because another host has its part of the slack now.
func (s *Shards) Rest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.serving {
		return
	}
	s.first, s.serving, s.granted = false, false, 0
	for _, budget := range s.budgets {
		budget.tokens.Store(0)
	}
}

// Shard returns the budget of a shard, which is created on first use.
func (s *Shards) Shard(name broker.ShardName) *Budget {
	s.mu.Lock()
	defer s.mu.Unlock()
	budget := s.budgets[name]
	if budget == nil {
		budget = newFixedBudget(s.share, s.allotment.Burst)
		budget.credit(s.granted)
		s.budgets[name] = budget
	}
	return budget
}
