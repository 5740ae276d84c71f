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
	"github.com/yuccarock/yuccarock/internal/broker/coordination/prober"
)

// TestLookUpInStandby guards against a directory on a host in standby, which probes others seldom, that names a host for
// longer after its end than that of a host that serves, and against look-ups that take longer than callers wait.
func TestLookUpInStandby(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		none, lost := []string{}, []string{"a"}
		silent := &silentHosts{}
		silent.names.Store(&none)
		f := New(Dependencies{
			Settings: Settings{Node: "z", Entry: netip.MustParseAddrPort("127.0.0.1:1")}, Probe: silent.check, Metrics: metrics.NewSet(),
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
			if took := time.Since(asked); took > time.Second {
				t.Errorf("look-up: took %v, want at most 1 s", took)
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
			time.Sleep(2*prober.DefaultInterval + prober.DefaultTimeout)
			if names() {
				t.Error("two intervals and a timeout after its end the host is named, want it left out")
			}
		}
	})
}
