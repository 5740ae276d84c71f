package budgeter

import (
	"sync/atomic"

	"github.com/yuccarock/yuccarock/internal/broker/state/holder"
	"github.com/yuccarock/yuccarock/pkg/configurator"
)

// DefaultBurst is the default number of tokens that a budget may save up.
const DefaultBurst = 10

// token is one token in the fixed-point unit of the counters.
const token = 1_000_000

// savedQueries is how many queries' earnings a budget may save where that is more than the burst. Stragglers and
// lost owners come in bursts in proportion to the fan-out: at 50 shards and a share of 5%, saving 10 tokens denied
// 45% of the hedges due in the policy model although only 2.7% extra sub-requests were sent.
const savedQueries = 40

// Budget is a token budget that earns a share of base load and is safe for concurrent use.
type Budget struct {
	share  atomic.Int64 // earned per request of base load
	tokens atomic.Int64
	limit  atomic.Int64 // most tokens to save, by the fan-out of the last query
	burst  int64
	fixed  bool // saves no more than the burst, however large queries are
}

// NewFixedBudget returns a budget that never saves more than burst tokens. It starts with half of them, because a host
// that restarts often must not have the whole slack each time.
func NewFixedBudget(share float64, burst int) *Budget {
	b := NewBudget(share, burst)
	b.fixed = true
	b.tokens.Store(b.burst / 2)
	return b
}

// setBurst changes what a fixed budget may save.
func (b *Budget) setBurst(burst int) {
	b.limit.Store(int64(burst) * token)
	for {
		current := b.tokens.Load()
		if current <= b.limit.Load() || b.tokens.CompareAndSwap(current, b.limit.Load()) {
			return
		}
	}
}

// NewBudget returns a full budget that earns share tokens per request and saves at most burst tokens.
func NewBudget(share float64, burst int) *Budget {
	b := &Budget{burst: int64(burst) * token}
	b.setShare(share)
	b.limit.Store(b.burst)
	if share > 0 {
		b.tokens.Store(b.burst)
	}
	return b
}

func (b *Budget) setShare(share float64) {
	b.share.Store(int64(max(share, 0) * token))
}

// Earn adds the share for a number of requests of base load sent at once.
func (b *Budget) Earn(requests int) {
	earned := b.share.Load() * int64(requests)
	if earned == 0 {
		return
	}
	limit := b.limit.Load()
	if !b.fixed {
		limit = max(b.burst, savedQueries*earned)
		if b.limit.Load() != limit {
			b.limit.Store(limit)
		}
	}
	for {
		current := b.tokens.Load()
		next := min(current+earned, max(limit, current))
		if next == current || b.tokens.CompareAndSwap(current, next) {
			return
		}
	}
}

// Spend takes one token and returns false where less than one is left.
func (b *Budget) Spend() bool { return b.spend(token) }

// SpendSpare takes one token only while more than half of what may be saved is left.
func (b *Budget) SpendSpare() bool { return b.spend(max(token, b.limit.Load()/2)) }

func (b *Budget) spend(least int64) bool {
	if b.share.Load() == 0 {
		return false
	}
	for {
		current := b.tokens.Load()
		if current < least {
			return false
		}
		if b.tokens.CompareAndSwap(current, current-token) {
			return true
		}
	}
}

// Tokens returns the tokens left.
func (b *Budget) Tokens() float64 { return float64(b.tokens.Load()) / token }

// Kind holds the budgets of one request kind.
type Kind struct {
	Hedges  *Budget
	Retries *Budget
}

// Budgeter holds the budgets of all request kinds of the configuration in force.
type Budgeter struct {
	burst int
	none  *Kind
	kinds *holder.Holder[map[string]*Kind]
}

// New returns a budgeter without kinds whose budgets save at most burst tokens.
func New(burst int) *Budgeter {
	return &Budgeter{
		burst: burst,
		none:  &Kind{Hedges: NewBudget(0, 0), Retries: NewBudget(0, 0)},
		kinds: holder.New(&map[string]*Kind{}),
	}
}

// Adopt takes over the shares of kinds; a kind that stays keeps its tokens.
func (b *Budgeter) Adopt(kinds []configurator.RequestKind) {
	b.kinds.Update(func(current *map[string]*Kind) *map[string]*Kind {
		next := make(map[string]*Kind, len(kinds))
		for i := range kinds {
			kind := &kinds[i]
			held := (*current)[kind.Name]
			if held == nil {
				held = &Kind{
					Hedges:  NewBudget(kind.HedgeBudget, b.burst),
					Retries: NewBudget(kind.RetryBudget, b.burst),
				}
			}
			held.Hedges.setShare(kind.HedgeBudget)
			held.Retries.setShare(kind.RetryBudget)
			next[kind.Name] = held
		}
		return &next
	})
}

// Kind returns the budgets of a request kind, which are empty for an unknown kind.
func (b *Budgeter) Kind(name string) *Kind {
	if kind := (*b.kinds.Load())[name]; kind != nil {
		return kind
	}
	return b.none
}
