package budgeter

import (
	"testing"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
)

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
				shards := NewShards(HostShare(tt.share), HostAllotment(tt.slack, tt.hosts, window*time.Second))
				shards.Serve(time.Unix(0, 0))
				shards.Serve(time.Unix(window, 0))
				budgets[i] = shards.Shard("s1")
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
		if got := HostAllotment(slack, hosts, time.Second).Burst * (hosts + 1); got > slack {
			t.Errorf("bursts of %d hosts and one more: got %d, want at most %d", hosts, got, slack)
		}
	}
}

// TestStartsInSeries guards against more further attempts at a service within a window than a share of its requests plus the
// slack, while processes start in place of others again and again: at the same host, at hosts that take over in turn, and at
// hosts that stop serving and serve again.
func TestStartsInSeries(t *testing.T) {
	const seconds, window, ticks = 60, 10, 50 // ticks a second
	tests := []struct {
		name   string
		hosts  int
		rate   int // requests a second at each host
		slack  int
		period int // ticks between two starts at the same host
		resume bool
	}{
		{name: "one of six each 2 s, stops and kills", hosts: 6, rate: 10, slack: 54, period: 100},
		{name: "each host every second", hosts: 6, rate: 10, slack: 54, period: 50},
		{name: "few requests", hosts: 6, rate: 1, slack: 54, period: 75},
		{name: "three hosts", hosts: 3, rate: 25, slack: 52, period: 30},
		{name: "300 hosts", hosts: 300, rate: 1, slack: 1500, period: 100},
		{name: "690 hosts", hosts: 690, rate: 1, slack: 3500, period: 100},
		{name: "nearly as many hosts as slack", hosts: 690, rate: 1, slack: 700, period: 100},
		{name: "hosts that serve in turn", hosts: 6, rate: 10, slack: 54, period: 100, resume: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			const share = 0.2
			allotment := HostAllotment(tt.slack, tt.hosts, window*time.Second)
			start := func() *Shards { return NewShards(HostShare(share), allotment) }
			serving, spare := make([]*Shards, tt.hosts), make([]*Shards, tt.hosts)
			for i := range serving {
				serving[i], spare[i] = start(), start()
			}
			requests, extra := make([]int, seconds*ticks), make([]int, seconds*ticks)
			for tick := range extra {
				now := time.Unix(0, 0).Add(time.Duration(tick) * time.Second / ticks)
				for i := range serving {
					// Starts begin after 20 s, in which the budgets fill up, and are spread over the period.
					if tick > 20*ticks && (tick+i*tt.period/tt.hosts)%tt.period == 0 {
						serving[i].Rest()
						serving[i], spare[i] = spare[i], serving[i]
						if !tt.resume {
							serving[i] = start()
						}
					}
					serving[i].Serve(now)
					budget := serving[i].Shard("s1")
					if tick%(ticks/tt.rate) == 0 {
						requests[tick]++
						budget.Deposit(1)
					}
					for tick > 20*ticks && budget.TryWithdraw() {
						extra[tick]++
					}
				}
			}
			inWindow, asked := 0, 0
			for tick := range extra {
				inWindow, asked = inWindow+extra[tick], asked+requests[tick]
				if tick >= window*ticks {
					inWindow, asked = inWindow-extra[tick-window*ticks], asked-requests[tick-window*ticks]
				}
				if allowed := int(share*float64(asked)) + tt.slack; inWindow > allowed {
					t.Fatalf("further attempts in 10 s: got %d, want at most %d", inWindow, allowed)
				}
			}
		})
	}
}

// TestFirstStart guards against a system that has no tokens when it starts for the first time, and against a host that gets them
// again when it serves again.
func TestFirstStart(t *testing.T) {
	const slack, hosts = 156, 58
	shards := NewShards(0.17, HostAllotment(slack, hosts, 10*time.Second))
	shards.SetFirstStart()
	shards.Serve(time.Unix(0, 0))
	if got := shards.Shard("s1").Tokens(); got != 1 {
		t.Errorf("tokens at the first start: got %v, want half a burst, 1", got)
	}
	shards.Rest()
	shards.Serve(time.Unix(1, 0))
	if got := shards.Shard("s1").Tokens(); got != 0 {
		t.Errorf("tokens of a host that serves again: got %v, want none", got)
	}
}

// TestRestartedHost guards against a host that gets tokens at once at each restart, and against one that never gets a part of
// the slack although it was the only one to start.
func TestRestartedHost(t *testing.T) {
	const window = 10 * time.Second
	started := time.Unix(0, 0)
	shards := NewShards(0.17, HostAllotment(54, 6, window))
	shards.Serve(started)
	if got := shards.Shard("s1").Tokens(); got != 0 {
		t.Errorf("tokens at the start: got %v, want none", got)
	}
	for _, tt := range []struct {
		after time.Duration
		want  float64
	}{{window / 2, 1.5}, {window, 3}, {3 * window, 3}} {
		shards.Serve(started.Add(tt.after))
		for _, name := range []broker.ShardName{"s1", "first used now"} {
			if got := shards.Shard(name).Tokens(); got != tt.want {
				t.Errorf("tokens of %s after %v: got %v, want %v", name, tt.after, got, tt.want)
			}
		}
	}
	shards.Rest()
	if got := shards.Shard("s1").Tokens(); got != 0 {
		t.Errorf("tokens of a host that serves no callers: got %v, want none", got)
	}
}
