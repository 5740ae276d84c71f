package forwarder

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
)

// TestLoad checks that the wanted capacity rises with the load at once and falls slowly.
func TestLoad(t *testing.T) {
	var l load
	now := time.Now()
	processor := time.Duration(0)
	for range 30 {
		l.sampleProcessorTime(now, processor)
		now, processor = now.Add(time.Second), processor+300*time.Millisecond
	}
	if got := l.ownCores(); math.Abs(got-0.3) > 0.01 {
		t.Errorf("cores in use: got %.3f, want 0.3", got)
	}
	if got := l.wantedCapacity(); got != minCapacity {
		t.Errorf("capacity without load: got %.2f, want %.2f", got, minCapacity)
	}
	l.updateWanted(1.4, time.Second)
	if got := l.wantedCapacity(); math.Abs(got-4) > 0.01 {
		t.Errorf("capacity at 1.4 cores in use: got %.2f, want 4", got)
	}
	l.updateWanted(0, time.Second)
	if got := l.wantedCapacity(); got < 3.9 {
		t.Errorf("capacity a second after the load: got %.2f, want 3.9 or more", got)
	}
	for range 300 {
		l.updateWanted(0, time.Second)
	}
	if got := l.wantedCapacity(); got != minCapacity {
		t.Errorf("capacity five minutes after the load: got %.2f, want %.2f", got, minCapacity)
	}
}

// TestServingHosts checks that more hosts serve callers under load, so that their processors are not overloaded.
func TestServingHosts(t *testing.T) {
	none := []string{}
	silent := &silentHosts{load: 0.2}
	silent.names.Store(&none)
	f := newTestForwarder(silent)
	records := map[string]broker.HostRecord{}
	for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		records[name] = broker.HostRecord{Name: name, Capacity: 0.4}
	}
	f.prober.SetHosts(records)
	if got := len(f.serving()); got != minServingHosts {
		t.Errorf("serving hosts without load: got %d, want %d", got, minServingHosts)
	}
	f.prober.Probe(t.Context(), []string{"a", "b", "c"})
	f.load.updateWanted(f.prober.Load([]string{"a", "b", "c"})+f.load.ownCores(), time.Second)
	// 0.6 cores in use require a capacity of 1.71 cores, which five hosts have.
	if got := len(f.serving()); got != 5 {
		t.Errorf("serving hosts with 0.6 cores in use: got %d, want 5", got)
	}
}

// TestSuspectHosts checks that callers are not sent to a host that missed its last answer if others can take its place,
// and that they are if none can.
func TestSuspectHosts(t *testing.T) {
	for _, names := range [][]string{{"a", "b", "c", "d"}, {"a", "b", "c"}} {
		silent := &silentHosts{}
		f := newTestForwarder(silent)
		records := map[string]broker.HostRecord{}
		for _, name := range names {
			records[name] = broker.HostRecord{Name: name, Capacity: 0.4}
		}
		f.prober.SetHosts(records)
		silent.names.Store(&[]string{"a"})
		f.prober.Probe(t.Context(), names)
		named := slices.ContainsFunc(f.serving(), func(host broker.HostRecord) bool { return host.Name == "a" })
		if want := len(names) == minServingHosts; named != want {
			t.Errorf("%d hosts, one silent once: got included %v, want %v", len(names), named, want)
		}
	}
}

// TestSecondZone checks that callers are sent to hosts of two zones, because one zone can be lost as a whole.
func TestSecondZone(t *testing.T) {
	var hosts []broker.HostRecord
	for i, zone := range []string{"a", "a", "a", "a", "b", "b", "b"} {
		hosts = append(hosts, broker.HostRecord{Name: fmt.Sprintf("%s%d", zone, i), Zone: zone, Capacity: 0.4})
	}
	tests := []struct {
		name     string
		locality map[string]int
		want     []string
	}{
		{"most servers in one zone", map[string]int{"a": 4, "b": 2}, []string{"a0", "a1", "a2", "b4"}},
		{"servers in both zones", map[string]int{"a": 3, "b": 3}, []string{"a0", "b4", "a1"}},
	}
	for _, tt := range tests {
		var got []string
		chosen, _ := chooseHosts(slices.Clone(hosts), tt.locality, minCapacity)
		for _, host := range chosen {
			got = append(got, host.Name)
		}
		if !slices.Equal(got, tt.want) {
			t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
		}
	}
	var large []broker.HostRecord
	for i := range 2 * maxServingHosts {
		zone := []string{"a", "b"}[i/(2*maxServingHosts-1)]
		large = append(large, broker.HostRecord{Name: fmt.Sprintf("%s%03d", zone, i), Zone: zone, Capacity: 0.1})
	}
	chosen, _ := chooseHosts(large, map[string]int{"a": 4}, 100)
	elsewhere := func(host broker.HostRecord) bool { return host.Zone == "b" }
	if len(chosen) != maxServingHosts || !slices.ContainsFunc(chosen, elsewhere) {
		t.Errorf("more hosts than fit into one answer: got %d, want %d, one of another zone", len(chosen), maxServingHosts)
	}
	if got, _ := chooseHosts(slices.Clone(hosts[:4]), nil, minCapacity); len(got) != 3 {
		t.Errorf("one zone only: got %d hosts, want 3", len(got))
	}
}
