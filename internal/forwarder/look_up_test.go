package forwarder

import (
	"context"
	"log/slog"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/yuccarock/yuccarock/internal/broker"
)

// TestLookUpInStandby guards against a directory on a host in standby, which probes others seldom, that names a host
// over 7 s after its end, and against look-ups that wait for a host that is lost.
func TestLookUpInStandby(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		none, lost := []string{}, []string{"a"}
		silent := &silentHosts{}
		silent.names.Store(&none)
		f := New(Dependencies{
			Settings: Settings{Node: "z", Entry: netip.MustParseAddrPort("127.0.0.1:1")}, Probe: silent.checkWithoutPower, Metrics: metrics.NewSet(),
			Logger: slog.New(slog.DiscardHandler),
		})
		records := map[string]broker.HostRecord{}
		for i, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i"} {
			records[name] = broker.HostRecord{Name: name, Capacity: 1, Entry: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i+1))}
		}
		f.prober.SetHosts(records)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go f.probeHosts(ctx)
		names := func() bool {
			asked := time.Now()
			entries, _ := f.Resolve("")
			if took := time.Since(asked); took > 20*time.Millisecond {
				t.Errorf("look-up: took %v, want at most 20 ms", took)
			}
			return slices.Contains(entries, records["a"].Entry)
		}
		time.Sleep(30 * time.Second)
		if !names() {
			t.Fatal("the host is not named while it answers, want it named")
		}
		for phase := time.Duration(0); phase < standbyProbeInterval; phase += 300 * time.Millisecond {
			silent.names.Store(&none)
			time.Sleep(12*standbyProbeInterval + phase)
			silent.names.Store(&lost)
			for ended := time.Now(); time.Since(ended) < 12*time.Second; time.Sleep(500 * time.Millisecond) {
				if since := time.Since(ended); names() && since > 7*time.Second {
					t.Errorf("%v after its end the host is named, want it left out", since)
				}
			}
		}
	})
}
