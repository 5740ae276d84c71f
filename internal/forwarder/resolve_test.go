package forwarder

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
)

// TestZoneDelegates guards against zones whose servers get each sub-request from another zone because no host there
// serves callers, and against delegates that nobody needs.
func TestZoneDelegates(t *testing.T) {
	host := func(name, zone string, capacity float64) broker.HostRecord {
		return broker.HostRecord{Name: name, Zone: zone, Capacity: capacity}
	}
	hosts := []broker.HostRecord{
		host("a1", "a", 0.4), host("a2", "a", 0.4), host("b1", "b", 0.4), host("c1", "c", 0.2), host("c2", "c", 0.8),
		host("d1", "d", 0.4),
	}
	tests := []struct {
		name     string
		serving  []broker.HostRecord
		locality map[string]int
		want     []string
	}{
		{name: "largest of a zone", serving: hosts[:3], locality: map[string]int{"a": 2, "b": 2, "c": 2}, want: []string{"c2"}},
		{name: "zone without servers", serving: hosts[:3], locality: map[string]int{"a": 2, "b": 2}},
		{name: "two zones", serving: hosts[:2], locality: map[string]int{"b": 1, "d": 3}, want: []string{"d1", "b1"}},
		{name: "all serve", serving: hosts, locality: map[string]int{"a": 2, "b": 2, "c": 2, "d": 2}},
		{name: "before the first configuration", serving: hosts[:1]},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var got []string
			for _, chosen := range chooseZoneDelegates(slices.Clone(hosts), tt.serving, tt.locality) {
				got = append(got, chosen.Name)
			}
			if !slices.Equal(got, tt.want) {
				t.Errorf("delegates: got %v, want %v", got, tt.want)
			}
		})
	}
}

// TestUnansweredDelegate guards against delegations to a host that has not answered a probe and may be gone.
func TestUnansweredDelegate(t *testing.T) {
	none := []string{}
	silent := &silentHosts{}
	silent.names.Store(&none)
	f := newTestForwarder(silent)
	f.prober.SetHosts(map[string]broker.HostRecord{
		"b": {Name: "b", Zone: "b", Capacity: 1, Peer: netip.MustParseAddrPort("127.0.0.1:7380")},
	})
	f.updateHostShare()
	if got := f.delegates.Zones(time.Now()); len(got) != 0 {
		t.Errorf("zones with a delegate before the first probe: got %v, want none", got)
	}
	f.prober.Probe(t.Context(), []string{"b"})
	f.updateHostShare()
	if got, want := f.delegates.Zones(time.Now()), []string{"b"}; !slices.Equal(got, want) {
		t.Errorf("zones with a delegate: got %v, want %v", got, want)
	}
}
