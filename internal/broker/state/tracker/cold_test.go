package tracker

import (
	"testing"
	"time"
)

// TestColdShare guards against more requests to a cold server in one second, from all hosts together, than it bears:
// 1.5 times its rate plus 5. The load is six hosts that each would send a request every millisecond.
func TestColdShare(t *testing.T) {
	const hosts, day = 6, 5 * time.Second
	tests := []struct {
		name string
		rate float64 // requests per second of all hosts together
	}{
		{name: "slow", rate: 1},
		{name: "usual", rate: 5},
		{name: "fast", rate: 40},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			started := time.Unix(1_800_000_000, 0)
			servers := make([]*Server, hosts)
			for i := range servers {
				servers[i] = newServer("i-1", &periodEstimator{})
				servers[i].SetCold(started.Add(day), tt.rate/hosts)
			}
			var sent []time.Time
			for now := started; now.Before(started.Add(day)); now = now.Add(time.Millisecond) {
				for _, server := range servers {
					if !server.RateLimited(now) {
						t.Fatal("the server is not limited")
					}
					if server.TakeColdToken(now) {
						sent = append(sent, now)
					}
				}
			}
			worst := 0
			for first, last := 0, 0; last < len(sent); last++ {
				for sent[last].Sub(sent[first]) >= time.Second {
					first++
				}
				worst = max(worst, last-first+1)
			}
			if want := int(1.5*tt.rate + 5); worst > want {
				t.Errorf("requests in one second: got %d, want at most %d", worst, want)
			}
			if want := int(tt.rate * day.Seconds() / 2); len(sent) < want {
				t.Errorf("requests in %s: got %d, want at least %d", day, len(sent), want)
			}
		})
	}
}
