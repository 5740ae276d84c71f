package forwarder

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"

	"github.com/yuccarock/yuccarock/internal/broker"
)

// relayFleet returns hosts with the given numbers in each zone, the first two of each with more capacity.
func relayFleet(counts ...int) []broker.HostRecord {
	var hosts []broker.HostRecord
	for zone, count := range counts {
		for i := range count {
			host := broker.HostRecord{
				Name: fmt.Sprintf("%c-%03d", 'a'+zone, i), Zone: string(rune('a' + zone)), Capacity: 0.2,
				Peer: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(zone), byte(i + 1)}), 9000),
			}
			if i < 2 {
				host.Capacity = 0.8
			}
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// TestRelayPlan guards against calls to the store that grow with the number of hosts or zones, against a host that reads
// from one that does not pass anything on, and against a zone that depends on one other host. The load is a change of the
// store, which every host has to learn.
func TestRelayPlan(t *testing.T) {
	tests := []struct {
		name      string
		counts    []int // hosts of each zone
		wantRoots int   // hosts that follow the store
	}{
		{name: "one host", counts: []int{1}, wantRoots: 1},
		{name: "two hosts of two zones", counts: []int{1, 1}, wantRoots: 2},
		{name: "one zone", counts: []int{4}, wantRoots: 2},
		{name: "three zones", counts: []int{3, 2, 2}, wantRoots: 2},
		{name: "five zones", counts: []int{46, 39, 34, 39, 37}, wantRoots: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			hosts := relayFleet(tt.counts...)
			plans := map[netip.AddrPort]relayPlan{}
			roots := 0
			for _, host := range hosts {
				plans[host.Peer] = planRelays(host, hosts)
				if len(plans[host.Peer].upstream) == 0 {
					roots++
				}
			}
			if roots != tt.wantRoots {
				t.Errorf("hosts that follow the store: got %d, want %d", roots, tt.wantRoots)
			}
			for _, host := range hosts {
				checkRelayPlan(t, host, plans)
			}
		})
	}
}

func checkRelayPlan(t *testing.T, host broker.HostRecord, plans map[netip.AddrPort]relayPlan) {
	t.Helper()
	plan := plans[host.Peer]
	if got := len(plan.upstream); got == 1 {
		t.Errorf("hosts that %s can read from: got 1, want none or at least two", host.Name)
	}
	far := false
	for _, candidate := range plan.upstream {
		upstream := plans[candidate.Address]
		if !upstream.passes || candidate.Address == host.Peer {
			t.Errorf("%s reads from %s, which passes nothing on to it", host.Name, candidate.Address)
		}
		if far && !candidate.Far {
			t.Errorf("%s prefers a host of another zone: %v", host.Name, plan.upstream)
		}
		far = candidate.Far
		if plan.passes && len(upstream.upstream) > 0 {
			t.Errorf("relay %s reads from %s, which does not follow the store", host.Name, candidate.Address)
		}
	}
}

// TestRelayPlanWithFewRecords guards against a host that reads from nobody although it knows of a relay: a resolver, which
// has no address for other hosts, or a host of which the store has no record yet.
func TestRelayPlanWithFewRecords(t *testing.T) {
	hosts := relayFleet(3, 3)
	resolver := broker.HostRecord{Name: "a-resolver", Zone: "a"}
	lonely := broker.HostRecord{Name: "c-resolver", Zone: "c"}
	tests := []struct {
		name     string
		self     broker.HostRecord
		wantNear bool
	}{
		{name: "resolver beside hosts", self: resolver, wantNear: true},
		{name: "resolver in a zone without hosts", self: lonely},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			plan := planRelays(tt.self, append(slices.Clone(hosts), tt.self))
			if len(plan.upstream) < 2 || plan.passes {
				t.Fatalf("plan: got %+v, want at least two hosts to read from, and none that reads from it", plan)
			}
			if got := !plan.upstream[0].Far; got != tt.wantNear {
				t.Errorf("first host is in the same zone: got %v, want %v", got, tt.wantNear)
			}
		})
	}
}
