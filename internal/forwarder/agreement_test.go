package forwarder

import (
	"context"
	"math"
	"testing"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/prober"
)

// TestAgreement guards against directories that name different hosts, because those that probe seldom keep the load of a start
// for longer: callers then spread over hosts that have no open connections and know nothing of the servers.
func TestAgreement(t *testing.T) {
	var serving, standby load
	serving.updateWanted(4, 0)
	standby.updateWanted(4, 0)
	for range 60 {
		serving.updateWanted(0, prober.DefaultInterval)
	}
	for range 12 {
		standby.updateWanted(0, standbyProbeInterval)
	}
	if got, want := standby.wantedCapacity(), serving.wantedCapacity(); math.Abs(got-want) > 0.01 {
		t.Errorf("capacity a minute after the load: got %.3f in standby, want %.3f as elsewhere", got, want)
	}
}

// TestProbesAtStart guards against a host that probes all others, at each of hundreds of hosts, because those that have just started
// take no requests yet.
func TestProbesAtStart(t *testing.T) {
	none := []string{}
	silent := &silentHosts{}
	silent.names.Store(&none)
	f := newTestForwarder(silent)
	starting := true
	f.prober = prober.New(func(context.Context, broker.HostRecord) (prober.Answer, error) {
		return prober.Answer{Ready: !starting}, nil
	}, prober.Options{Self: "self"}, f.set, f.logger)
	records := map[string]broker.HostRecord{}
	for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		records[name] = broker.HostRecord{Name: name}
	}
	f.prober.SetHosts(records)
	probed := []string{"a", "b", "c"}
	f.prober.Probe(t.Context(), probed)
	if f.lacksAnswers(probed) {
		t.Error("more hosts are probed at once while those that were probed are starting, want that they are not")
	}
}
