package forwarder

import (
	"context"
	"log/slog"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/follower"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/prober"
)

// silentHosts is a fake prober check that all hosts answer except those in names.
type silentHosts struct {
	names atomic.Pointer[[]string]
	load  float64 // reported by each of the other hosts
}

func (s *silentHosts) check(_ context.Context, host broker.HostRecord) (prober.Answer, error) {
	if slices.Contains(*s.names.Load(), host.Name) {
		return prober.Answer{}, errors.New("no answer")
	}
	return prober.Answer{Ready: true, Load: s.load}, nil
}

// checkWithoutPower is check for hosts that are silent until the probe times out, and not at once.
func (s *silentHosts) checkWithoutPower(ctx context.Context, host broker.HostRecord) (prober.Answer, error) {
	answer, err := s.check(ctx, host)
	if err != nil {
		<-ctx.Done()
	}
	return answer, err
}

// newTestForwarder returns a host that knows four other hosts.
func newTestForwarder(silent *silentHosts) *Forwarder {
	f := New(Dependencies{
		Settings: Settings{Node: "self"}, Probe: silent.check, Metrics: metrics.NewSet(),
		Logger: slog.New(slog.DiscardHandler),
	})
	records := map[string]broker.HostRecord{}
	for _, name := range []string{"a", "b", "c", "d"} {
		records[name] = broker.HostRecord{Name: name}
	}
	f.prober.SetHosts(records)
	return f
}

// TestProbeAllHosts checks that a lost host is found gone after maxMissedProbes rounds, and that hosts are kept if they
// answered in between or if the probing host is itself cut off from most others.
func TestProbeAllHosts(t *testing.T) {
	tests := []struct {
		name   string
		silent func(round int) []string
		want   []string
	}{
		{"one host lost", func(int) []string { return []string{"b"} }, []string{"b"}},
		{"answered once in between", func(round int) []string {
			if round == maxMissedProbes/2 {
				return nil
			}
			return []string{"b"}
		}, nil},
		{"cut off from most", func(int) []string { return []string{"a", "b", "c"} }, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			silent := &silentHosts{}
			f, missed := newTestForwarder(silent), map[string]int{}
			var got []string
			for round := range maxMissedProbes {
				names := tt.silent(round)
				silent.names.Store(&names)
				if got = f.probeAllHosts(t.Context(), missed); round < maxMissedProbes-1 && len(got) > 0 {
					t.Fatalf("gone after %d rounds: got %v, want none", round+1, got)
				}
			}
			if !slices.Equal(got, tt.want) {
				t.Errorf("gone: got %v, want %v", got, tt.want)
			}
		})
	}
}

// TestAwaitRemoval checks that the removal of the host's record is noticed, so that it is written again, and that the
// record is not written again while it exists.
func TestAwaitRemoval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestForwarder(&silentHosts{})
		own := map[string]broker.Item[broker.HostRecord]{"self": {Name: "self"}}
		f.updateHosts(follower.Update[broker.HostRecord]{Items: own})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		begin := time.Now()
		var returned atomic.Int64
		go func() {
			f.awaitRemoval(ctx)
			returned.Store(int64(time.Since(begin)))
		}()
		time.Sleep(time.Minute)
		synctest.Wait()
		if got := returned.Load(); got != 0 {
			t.Fatalf("returned after %v although the record exists", time.Duration(got))
		}
		f.updateHosts(follower.Update[broker.HostRecord]{Items: map[string]broker.Item[broker.HostRecord]{}})
		time.Sleep(3 * recordCheckInterval)
		synctest.Wait()
		if got := time.Duration(returned.Load()); got == 0 || got > time.Minute+3*recordCheckInterval {
			t.Errorf("returned after %v, want within %v of the removal", got, 3*recordCheckInterval)
		}
	})
}
