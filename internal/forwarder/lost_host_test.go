package forwarder

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/yuccarock/yuccarock/internal/broker"
)

// TestLostHosts guards against addresses of a host that is long gone because it was not probed lately: never, as it was not
// among the next ones, or only at a time when it was. It is named once hosts before it are lost, or not at all.
func TestLostHosts(t *testing.T) {
	const hosts = 40
	name := func(i int) string { return fmt.Sprintf("host-%02d", i) }
	entry := func(i int) netip.AddrPort { return netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(1+i)) }
	span := func(from, to int) (names []string) {
		for i := from; i < to; i++ {
			names = append(names, name(i))
		}
		return names
	}
	tests := []struct {
		name string
		// All hosts from probedTo on are registered a minute later, so that the ones before are probed until then.
		probedTo     int
		gone, second []string // lost first, and 15 s later
		// wantOthers is the time after the second loss until callers get as many hosts as before.
		wantOthers time.Duration
	}{
		{name: "never probed", gone: span(7, 8), second: span(0, 7), wantOthers: 4 * time.Second},
		{name: "probed before others were added", probedTo: 13, gone: span(28, 29), second: span(0, 28), wantOthers: 5 * time.Second},
		{name: "a whole zone", gone: span(10, 11), second: span(0, 30), wantOthers: 4 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				silent := &silentHosts{}
				none := []string{}
				silent.names.Store(&none)
				f := New(Dependencies{
					Settings: Settings{Node: "resolver"}, Probe: silent.checkWithoutPower, Metrics: metrics.NewSet(), Logger: slog.New(slog.DiscardHandler),
				})
				records := map[string]broker.HostRecord{}
				register := func(from, to int) {
					for i := from; i < to; i++ {
						records[name(i)] = broker.HostRecord{Name: name(i), Capacity: 0.4, Entry: entry(i)}
					}
					f.prober.SetHosts(records)
				}
				if tt.probedTo > 0 {
					register(hosts-tt.probedTo, hosts) // the first ones then, and the last ones later
				} else {
					register(0, hosts)
				}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go f.probeHosts(ctx)
				time.Sleep(time.Minute)
				register(0, hosts)
				time.Sleep(time.Minute)
				silent.names.Store(&tt.gone)
				time.Sleep(15 * time.Second)
				all := slices.Concat(tt.gone, tt.second)
				silent.names.Store(&all)
				lost := time.Now()
				var restored time.Duration
				for time.Since(lost) < 20*time.Second {
					entries, _ := f.Resolve("")
					sound := 0
					for i := range hosts {
						named := slices.Contains(entries, entry(i))
						if named && slices.Contains(tt.gone, name(i)) {
							t.Errorf("%v after the second loss: names %s, gone for 15 s", time.Since(lost), name(i))
						}
						if named && !slices.Contains(all, name(i)) {
							sound++
						}
					}
					if sound >= minServingHosts && restored == 0 {
						restored = time.Since(lost)
					}
					time.Sleep(50 * time.Millisecond)
				}
				cancel()
				synctest.Wait()
				if restored == 0 || restored > tt.wantOthers {
					t.Errorf("time until %d sound hosts are named: got %v, want at most %v", minServingHosts, restored, tt.wantOthers)
				}
			})
		})
	}
}
