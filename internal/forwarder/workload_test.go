package forwarder

import (
	"slices"
	"testing"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker/coordination/prober"
)

// TestProbeInterval guards against hosts in standby that probe as often as those that are used, also if a test request
// reaches each of them every second, and against a host that learns seconds late that callers have turned to it.
func TestProbeInterval(t *testing.T) {
	start := time.Now()
	tests := []struct {
		name     string
		needed   bool
		arrivals int // within the last second
		want     time.Duration
	}{
		{name: "used", needed: true, want: prober.DefaultInterval},
		{name: "standby", want: standbyProbeInterval},
		{name: "standby with a test request", arrivals: 1, want: standbyProbeInterval},
		{name: "standby that callers turn to", arrivals: 5, want: prober.DefaultInterval},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorkload(start)
			for range tt.arrivals {
				w.arrived()
			}
			if got := w.probeInterval(tt.needed, start.Add(time.Second)); got != tt.want {
				t.Errorf("probeInterval(): got %v, want %v", got, tt.want)
			}
		})
	}
}

// TestWokenProbes guards against a host in standby that takes over and waits for its next probe, and against one that a
// few requests wake.
func TestWokenProbes(t *testing.T) {
	w := newWorkload(time.Now())
	w.probeInterval(false, time.Now().Add(time.Second))
	for i := range wakeArrivals {
		if len(w.woken) > 0 {
			t.Fatalf("woken after %d requests, want %d", i, wakeArrivals)
		}
		w.arrived()
	}
	if len(w.woken) == 0 {
		t.Errorf("woken after %d requests: got no, want yes", wakeArrivals)
	}
}

// TestProbesOfFleet guards against probes that grow with the square of the number of hosts. The load is a fleet in which
// all hosts follow the same order; only those that serve, their spares and the resolvers need to know the others at once.
func TestProbesOfFleet(t *testing.T) {
	perSecond := func(perZone int) float64 {
		hosts := relayFleet(perZone, perZone, perZone, perZone, perZone)
		ordered := orderHosts(slices.Clone(hosts), nil)
		candidates := ordered[:min(len(ordered), minServingHosts+spareCandidates)]
		probes := 0.0
		for _, host := range hosts {
			needed := slices.Contains(candidates, host)
			interval := newWorkload(time.Now()).probeInterval(needed, time.Now().Add(time.Second))
			probes += float64(len(candidates)) / interval.Seconds()
		}
		return probes
	}
	small, large := perSecond(6), perSecond(60)
	if got, want := large/small, 10.0; got > want {
		t.Errorf("growth of probes from 30 to 300 hosts: got %.1f, want at most %.1f", got, want)
	}
	if got, want := large, 0.25*float64(300*(minServingHosts+spareCandidates)); got > want {
		t.Errorf("probes a second of 300 hosts: got %.0f, want at most %.0f", got, want)
	}
}
