package forwarder

import (
	"slices"
	"testing"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker/coordination/prober"
)

// TestProbeInterval guards against hosts in standby that probe as often as those that are used, and against a host that
// learns seconds late that callers or other hosts have turned to it.
func TestProbeInterval(t *testing.T) {
	start := time.Now()
	tests := []struct {
		name      string
		needed    bool
		arrivedAt time.Duration // of the last request; zero for none
		at        time.Duration
		want      time.Duration
		wantWake  bool // by a request after that
	}{
		{name: "used", needed: true, at: time.Minute, want: prober.DefaultInterval},
		{name: "standby", at: time.Minute, want: standbyProbeInterval, wantWake: true},
		{name: "standby that has just had work", arrivedAt: time.Minute - time.Second, at: time.Minute, want: prober.DefaultInterval},
		{name: "standby that had work", arrivedAt: time.Second, at: time.Minute, want: standbyProbeInterval, wantWake: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorkload(start)
			if tt.arrivedAt > 0 {
				w.arrived(start.Add(tt.arrivedAt))
			}
			if got := w.probeInterval(tt.needed, start.Add(tt.at)); got != tt.want {
				t.Errorf("probeInterval(): got %v, want %v", got, tt.want)
			}
			w.arrived(start.Add(tt.at))
			if got := len(w.woken) == 1; got != tt.wantWake {
				t.Errorf("woken by a request: got %v, want %v", got, tt.wantWake)
			}
		})
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
			interval := newWorkload(time.Now()).probeInterval(needed, time.Now())
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
