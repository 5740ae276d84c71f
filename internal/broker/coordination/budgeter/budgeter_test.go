package budgeter

import (
	"sync"
	"sync/atomic"
	"testing"

	"github.com/yuccarock/yuccarock/pkg/configurator"
)

// TestBudgetShare checks the share of base load, the maximum of a budget and the part reserved by TryWithdrawSurplus.
func TestBudgetShare(t *testing.T) {
	tests := []struct {
		name              string
		share             float64
		deposits          int // deposits of 50 requests each
		surplus, withdraw int // tokens that can be withdrawn one after the other
	}{
		{"no deposits without a share", 0, 100, 0, 0},
		{"full at the start", 0.05, 0, 6, 4},
		{"holds the deposits of 40 queries", 0.05, 1000, 51, 49},
		{"deposits the share", 0.05, 2, 0, 15},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			budget := NewBudget(test.share, 10)
			for range test.deposits {
				budget.Deposit(50)
			}
			count := func(withdraw func() bool) (taken int) {
				for withdraw() {
					taken++
				}
				return taken
			}
			if got := count(budget.TryWithdrawSurplus); got != test.surplus {
				t.Errorf("got %d surplus tokens, want %d", got, test.surplus)
			}
			if got := count(budget.TryWithdraw); got != test.withdraw {
				t.Errorf("got %d further tokens, want %d", got, test.withdraw)
			}
		})
	}
}

// TestBudgetConcurrency guards against tokens withdrawn twice by concurrent sessions.
func TestBudgetConcurrency(t *testing.T) {
	budget := NewBudget(0.5, 10)
	var spent atomic.Int64
	var wait sync.WaitGroup
	for range 8 {
		wait.Go(func() {
			for range 1000 {
				budget.Deposit(1)
				if budget.TryWithdraw() {
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

// TestAdoptKeepsTokens guards against a configuration change that refills or empties a budget.
func TestAdoptKeepsTokens(t *testing.T) {
	b := New(10)
	b.Adopt([]configurator.RequestKind{{Name: "search", HedgeBudget: 0.05, RetryBudget: 0.1}})
	for range 4 {
		b.Kind("search").Hedges.TryWithdraw()
	}
	b.Adopt([]configurator.RequestKind{{Name: "search", HedgeBudget: 0.5}})
	if got := b.Kind("search").Hedges.Tokens(); got != 6 {
		t.Errorf("got %v tokens after a change, want 6", got)
	}
	if b.Kind("search").Retries.TryWithdraw() || b.Kind("unknown").Hedges.TryWithdraw() {
		t.Errorf("got a token from a budget without a share")
	}
}
