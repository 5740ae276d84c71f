package budgeter

import "testing"

// TestHostBudgets guards against more hedges and retries at a service within 10 s, from all hosts together, than a share
// of its requests plus a slack. Each host sends as many as its budget permits, and one that takes over brings a budget
// of its own.
func TestHostBudgets(t *testing.T) {
	const seconds, window, ticks = 60, 10, 100 // ticks a second
	tests := []struct {
		name  string
		hosts int
		rate  int // requests a second at each host
		share float64
		slack int
	}{
		{name: "today", hosts: 3, rate: 30, share: 0.2, slack: 52},
		{name: "few requests", hosts: 3, rate: 1, share: 0.2, slack: 52},
		{name: "many hosts", hosts: 20, rate: 20, share: 0.2, slack: 222},
		{name: "no slack left to share", hosts: 3, rate: 50, share: 0.2, slack: 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			budgets := make([]*Budget, tt.hosts+1) // the last host takes over after half of the time
			for i := range budgets {
				budgets[i] = NewShards(HostShare(tt.share), HostBurst(tt.slack, tt.hosts)).Shard("s1")
			}
			extra := make([]int, seconds*ticks)
			for tick := range extra {
				first := 0
				if tick > len(extra)/2 {
					first = 1
				}
				for _, budget := range budgets[first : first+tt.hosts] {
					if tick%(ticks/tt.rate) == 0 {
						budget.Deposit(1)
					}
					// The budgets fill up for 20 s, as while servers are well.
					for tick > 20*ticks && budget.TryWithdraw() {
						extra[tick]++
					}
				}
			}
			allowed := int(tt.share*float64(tt.hosts*tt.rate*window)) + tt.slack
			inWindow := 0
			for tick, count := range extra {
				inWindow += count
				if tick >= window*ticks {
					inWindow -= extra[tick-window*ticks]
				}
				if inWindow > allowed {
					t.Fatalf("further attempts in 10 s: got %d, want at most %d", inWindow, allowed)
				}
			}
		})
	}
}

// TestHostBurst guards against a burst that uses up the slack before a host that takes over brings its own.
func TestHostBurst(t *testing.T) {
	for _, hosts := range []int{1, 3, 10, 50} {
		const slack = 222
		if got := HostBurst(slack, hosts) * (hosts + 1); got > slack {
			t.Errorf("bursts of %d hosts and one more: got %d, want at most %d", hosts, got, slack)
		}
	}
}

// TestRestartedHost guards against a host that gets its whole burst again at each restart.
func TestRestartedHost(t *testing.T) {
	const burst = 10
	if got, want := NewShards(0.17, burst).Shard("s1").Tokens(), float64(burst)/2; got > want {
		t.Errorf("tokens at the start: got %v, want at most %v", got, want)
	}
}
