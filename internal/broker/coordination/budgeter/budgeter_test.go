package budgeter

import (
	"sync"
	"sync/atomic"
	"testing"

	"github.com/yuccarock/yuccarock/pkg/configurator"
)

// TestBudgetShare guards the share of base load, the cap on saved tokens and the part kept by SpendSpare.
func TestBudgetShare(t *testing.T) {
	tests := []struct {
		name         string
		share        float64
		earn         int // times 50 requests
		spare, spend int // tokens that can be taken one after the other
	}{
		{"no share earns nothing", 0, 100, 0, 0},
		{"full at the start", 0.05, 0, 6, 4},
		{"saves 40 queries' earnings", 0.05, 1000, 51, 49},
		{"earns the share", 0.05, 2, 0, 15},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			budget := NewBudget(test.share, 10)
			for range test.earn {
				budget.Earn(50)
			}
			count := func(spend func() bool) (taken int) {
				for spend() {
					taken++
				}
				return taken
			}
			if got := count(budget.SpendSpare); got != test.spare {
				t.Errorf("got %d spare tokens, want %d", got, test.spare)
			}
			if got := count(budget.Spend); got != test.spend {
				t.Errorf("got %d further tokens, want %d", got, test.spend)
			}
		})
	}
}

// TestBudgetConcurrency guards against tokens spent twice by racing sessions.
func TestBudgetConcurrency(t *testing.T) {
	budget := NewBudget(0.5, 10)
	var spent atomic.Int64
	var wait sync.WaitGroup
	for range 8 {
		wait.Go(func() {
			for range 1000 {
				budget.Earn(1)
				if budget.Spend() {
					spent.Add(1)
				}
			}
		})
	}
	wait.Wait()
	if got, most := spent.Load(), int64(8*1000*0.5+10); got > most || got < most-int64(20) {
		t.Errorf("got %d tokens spent, want nearly %d", got, most)
	}
}

// TestAdoptKeepsTokens guards against a configuration change that refills or empties budgets.
func TestAdoptKeepsTokens(t *testing.T) {
	b := New(10)
	b.Adopt([]configurator.RequestKind{{Name: "search", HedgeBudget: 0.05, RetryBudget: 0.1}})
	for range 4 {
		b.Kind("search").Hedges.Spend()
	}
	b.Adopt([]configurator.RequestKind{{Name: "search", HedgeBudget: 0.5}})
	if got := b.Kind("search").Hedges.Tokens(); got != 6 {
		t.Errorf("got %v tokens after a change, want 6", got)
	}
	if b.Kind("search").Retries.Spend() || b.Kind("unknown").Hedges.Spend() {
		t.Errorf("got a token of a budget without a share")
	}
}
