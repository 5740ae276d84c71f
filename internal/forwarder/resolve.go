package forwarder

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
)

const (
	// maxEntries is the most addresses of one resolve answer.
	maxEntries = 64
	// minEntries is the fewest hosts that callers are sent to where there are as many: one may fail while another is
	// replaced.
	minEntries = 3
	// minCapacity is the least sum of the capacities of the hosts that callers are sent to, in processor cores.
	minCapacity = 1.2
)

// Resolve returns the addresses that a caller in a zone should use and for how long.
type Resolve func(zone string) (entries []netip.AddrPort, timeToLive time.Duration)

// Resolve returns the addresses of the hosts that should take requests, in random order; where none is known to, it names
// this host, which answers with the reason. Few hosts see more of each server and hold fewer connections, so that only as
// many are named as the load and the loss of some need, those first whose zone has the servers.
func (f *Forwarder) Resolve(string) ([]netip.AddrPort, time.Duration) {
	f.meters.resolve.Inc()
	hosts := f.serving()
	rand.Shuffle(len(hosts), func(i, k int) { hosts[i], hosts[k] = hosts[k], hosts[i] })
	entries := make([]netip.AddrPort, 0, len(hosts))
	for i := range hosts {
		entries = append(entries, hosts[i].Entry)
	}
	if len(entries) == 0 {
		entries = append(entries, f.settings.Entry)
	}
	return entries, timeToLive
}

// serving returns the hosts that callers are sent to.
func (f *Forwarder) serving() []broker.HostRecord {
	hosts := f.prober.Usable()
	if f.Ready() == nil {
		hosts = append(hosts, f.self())
	}
	return choose(hosts, f.locality())
}

func (f *Forwarder) self() broker.HostRecord {
	return broker.HostRecord{
		Name: f.settings.Node, Zone: f.settings.Zone, Entry: f.settings.Entry, Readiness: f.settings.Readiness,
		Capacity: f.settings.Capacity,
	}
}

func compareNames(a, b broker.HostRecord) int { return cmp.Compare(a.Name, b.Name) }

// choose returns the hosts to send callers to: those of the zones with the most servers first, of these the largest, and
// of equal ones alternately from each zone.
func choose(hosts []broker.HostRecord, locality map[string]int) []broker.HostRecord {
	slices.SortFunc(hosts, compareNames)
	rank := make(map[string]int, len(hosts)) // position within the zone
	inZone := map[string]int{}
	slices.SortStableFunc(hosts, func(a, b broker.HostRecord) int { return cmp.Compare(b.Capacity, a.Capacity) })
	for _, host := range hosts {
		rank[host.Name] = inZone[host.Zone]
		inZone[host.Zone]++
	}
	slices.SortStableFunc(hosts, func(a, b broker.HostRecord) int {
		return cmp.Or(cmp.Compare(locality[b.Zone], locality[a.Zone]), cmp.Compare(b.Capacity, a.Capacity),
			cmp.Compare(rank[a.Name], rank[b.Name]))
	})
	capacity, count := 0.0, 0
	for count < min(len(hosts), maxEntries) && (count < minEntries || capacity < minCapacity) {
		capacity += hosts[count].Capacity
		count++
	}
	return hosts[:count]
}

// locality counts, for each zone, the shards of scatters with a server there.
func (f *Forwarder) locality() map[string]int {
	view := f.registrar.View()
	if view == nil {
		return nil
	}
	return view.Locality
}
