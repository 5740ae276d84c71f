package budgeter

import (
	"sync/atomic"

	"github.com/yuccarock/yuccarock/internal/broker/state/holder"
	"github.com/yuccarock/yuccarock/pkg/configurator"
)

// DefaultBurst is the default maximum of a budget in tokens.
const DefaultBurst = 10

// tokenUnit is one token in the fixed-point representation of the counters.
const tokenUnit = 1_000_000

// burstQueries is the number of queries whose deposits a budget may hold, if that is more than the burst. Stragglers
// and lost owners come in bursts in proportion to the fan-out: with 50 shards, a share of 5% and at most 10 tokens, 45%
// of the due hedges were denied in the policy model although only 2.7% extra sub-requests were sent.
const burstQueries = 40

// Budget is a token budget that is credited a share of base load; it is safe for concurrent use.
type Budget struct {
	share      atomic.Int64 // credited per request of base load
	tokens     atomic.Int64
	maxTokens  atomic.Int64 // follows the fan-out of the last query unless fixedLimit is set
	burst      int64
	fixedLimit bool // the maximum is the burst, whatever the fan-out
}

// newFixedBudget returns an empty budget that never holds more than burst tokens.
func newFixedBudget(share float64, burst int) *Budget {
	b := NewBudget(share, burst)
	b.fixedLimit = true
	b.tokens.Store(0)
	return b
}

// setBurst changes the maximum of a fixed budget.
func (b *Budget) setBurst(burst int) {
	b.maxTokens.Store(int64(burst) * tokenUnit)
	for {
		current := b.tokens.Load()
		if current <= b.maxTokens.Load() || b.tokens.CompareAndSwap(current, b.maxTokens.Load()) {
			return
		}
	}
}

// NewBudget returns a full budget that is credited share tokens per request and holds at most burst tokens, or the
// deposits of burstQueries queries if that is more.
func NewBudget(share float64, burst int) *Budget {
	b := &Budget{burst: int64(burst) * tokenUnit}
	b.setShare(share)
	b.maxTokens.Store(b.burst)
	if share > 0 {
		b.tokens.Store(b.burst)
	}
	return b
}

func (b *Budget) setShare(share float64) {
	b.share.Store(int64(max(share, 0) * tokenUnit))
}

// Deposit credits the share for a number of requests of base load sent at once.
func (b *Budget) Deposit(requests int) {
	units := b.share.Load() * int64(requests)
	if units == 0 {
		return
	}
	if limit := max(b.burst, burstQueries*units); !b.fixedLimit && b.maxTokens.Load() != limit {
		b.maxTokens.Store(limit)
	}
	b.credit(units)
}

// credit adds units of tokens up to the maximum.
func (b *Budget) credit(units int64) {
	limit := b.maxTokens.Load()
	for {
		current := b.tokens.Load()
		next := min(current+units, max(limit, current))
		if next == current || b.tokens.CompareAndSwap(current, next) {
			return
		}
	}
}

// TryWithdraw takes one token and returns true, or false if less than one is left.
func (b *Budget) TryWithdraw() bool { return b.tryWithdraw(tokenUnit) }

// TryWithdrawSurplus takes one token only if the budget is at least half full.
func (b *Budget) TryWithdrawSurplus() bool {
	return b.tryWithdraw(max(tokenUnit, b.maxTokens.Load()/2))
}

func (b *Budget) tryWithdraw(minimum int64) bool {
	if b.share.Load() == 0 {
		return false
	}
	for {
		current := b.tokens.Load()
		if current < minimum {
			return false
		}
		if b.tokens.CompareAndSwap(current, current-tokenUnit) {
			return true
		}
	}
}

// Tokens returns the number of tokens left.
func (b *Budget) Tokens() float64 { return float64(b.tokens.Load()) / tokenUnit }

// KindBudgets holds the budgets of one request kind.
type KindBudgets struct {
	Hedges  *Budget
	Retries *Budget
}

// Budgeter holds the budgets of all request kinds of the configuration in force.
type Budgeter struct {
	burst int
	empty *KindBudgets
	kinds *holder.Holder[map[string]*KindBudgets]
}

// New returns a Budgeter without request kinds, for budgets with the given burst in tokens.
func New(burst int) *Budgeter {
	return &Budgeter{
		burst: burst,
		empty: &KindBudgets{Hedges: NewBudget(0, 0), Retries: NewBudget(0, 0)},
		kinds: holder.New(&map[string]*KindBudgets{}),
	}
}

// Adopt replaces the request kinds and their shares; a kind that remains keeps its tokens.
func (b *Budgeter) Adopt(kinds []configurator.RequestKind) {
	b.kinds.Update(func(current *map[string]*KindBudgets) *map[string]*KindBudgets {
		next := make(map[string]*KindBudgets, len(kinds))
		for i := range kinds {
			kind := &kinds[i]
			budgets := (*current)[kind.Name]
			if budgets == nil {
				budgets = &KindBudgets{
					Hedges:  NewBudget(kind.HedgeBudget, b.burst),
					Retries: NewBudget(kind.RetryBudget, b.burst),
				}
			}
			budgets.Hedges.setShare(kind.HedgeBudget)
			budgets.Retries.setShare(kind.RetryBudget)
			next[kind.Name] = budgets
		}
		return &next
	})
}

// Kind returns the budgets of a request kind; those of an unknown kind are always empty.
func (b *Budgeter) Kind(name string) *KindBudgets {
	if kind := (*b.kinds.Load())[name]; kind != nil {
		return kind
	}
	return b.empty
}
