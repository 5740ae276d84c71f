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
	// reserveHosts are asked beside the hosts that serve callers, so that those who take over are known to be there.
	reserveHosts = 4
	// zoneRelays hosts of each zone follow the store; one may fail.
	zoneRelays = 2
)

// Resolve returns the addresses that a caller in a zone should use and for how long; without addresses the caller should
// ask another host.
type Resolve func(zone string) (entries []netip.AddrPort, timeToLive time.Duration)

// Resolve returns the addresses of the hosts that should take requests, in random order. Few hosts see more
// of each server and hold fewer connections, so that only as many are named as the loss of some needs, those first whose
// zone has the servers.
func (f *Forwarder) Resolve(string) ([]netip.AddrPort, time.Duration) {
	f.meters.resolve.Inc()
	hosts := f.serving()
	rand.Shuffle(len(hosts), func(i, k int) { hosts[i], hosts[k] = hosts[k], hosts[i] })
	entries := make([]netip.AddrPort, 0, len(hosts))
	for i := range hosts {
		entries = append(entries, hosts[i].Entry)
	}
	return entries, timeToLive
}

// serving returns the hosts that callers are sent to.
func (f *Forwarder) serving() []broker.HostRecord {
	hosts, suspect := f.prober.Usable()
	if f.Ready() == nil {
		hosts = append(hosts, f.self())
	}
	wanted, locality := f.load.capacity(), f.locality()
	chosen, enough := choose(hosts, locality, wanted)
	// One answer that is missed can be a hiccup, and leaving out a host costs little while others take its place.
	if len(suspect) > 0 && !enough {
		chosen, _ = choose(append(hosts, suspect...), locality, wanted)
	}
	return chosen
}

func (f *Forwarder) self() broker.HostRecord {
	return broker.HostRecord{
		Name: f.settings.Node, Zone: f.settings.Zone, Entry: f.settings.Entry, Readiness: f.settings.Readiness,
		Capacity: f.settings.Capacity, Peer: f.settings.Peer,
	}
}

func compareNames(a, b broker.HostRecord) int { return cmp.Compare(a.Name, b.Name) }

// choose returns the hosts to send callers to, the first in order that have the wanted capacity, and whether there are
// enough for it.
func choose(
	hosts []broker.HostRecord, locality map[string]int, wanted float64,
) (chosen []broker.HostRecord, enough bool) {
	hosts = order(hosts, locality)
	capacity, count := 0.0, 0
	for !enough && count < len(hosts) {
		capacity += hosts[count].Capacity
		count++
		enough = count >= maxEntries || count >= minEntries && capacity >= wanted
	}
	return withSecondZone(hosts, count), enough
}

// withSecondZone returns the first hosts, and one of another zone where they are all in one: a zone can be lost as a whole,
// and its callers may then reach none of the hosts that would tell them other addresses.
func withSecondZone(hosts []broker.HostRecord, count int) []broker.HostRecord {
	chosen := hosts[:count]
	elsewhere := func(host broker.HostRecord) bool { return host.Zone != hosts[0].Zone }
	if count == 0 || slices.ContainsFunc(chosen, elsewhere) {
		return chosen
	}
	if i := slices.IndexFunc(hosts[count:], elsewhere); i >= 0 {
		chosen = append(slices.Clone(hosts[:min(count, maxEntries-1)]), hosts[count+i])
	}
	return chosen
}

// order sorts hosts by preference: those of the zones with the most servers first, of these the largest, and of equal
// ones alternately from each zone.
func order(hosts []broker.HostRecord, locality map[string]int) []broker.HostRecord {
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
	return hosts
}

// candidates returns the names of the hosts that serve callers now or would be next to: only these are asked whether they
// take requests, because questions between all hosts would grow with the square of their number.
func (f *Forwarder) candidates() []string {
	serving := make(map[string]bool)
	for _, host := range f.serving() {
		serving[host.Name] = true
	}
	known := order(append(f.prober.Known(), f.self()), f.locality())
	last := 0
	for i, host := range known {
		if serving[host.Name] {
			last = i
		}
	}
	names := make([]string, 0, last+1+reserveHosts)
	for _, host := range known[:min(len(known), last+1+reserveHosts)] {
		names = append(names, host.Name)
	}
	return names
}

// reserves returns the hosts whose last state may be asked for.
func (f *Forwarder) reserves() []netip.AddrPort {
	reserves := slices.Clone(f.tunable.Load().Seeds)
	for _, host := range f.prober.Known() {
		if host.Peer.IsValid() && !slices.Contains(reserves, host.Peer) {
			reserves = append(reserves, host.Peer)
		}
	}
	return reserves
}

// relayAddresses returns the hosts to ask for collections in place of the store: the first of the zone follow it themselves.
func (f *Forwarder) relayAddresses() []netip.AddrPort {
	var zone []broker.HostRecord
	for _, host := range append(f.prober.Known(), f.self()) {
		if host.Zone == f.settings.Zone && host.Peer.IsValid() {
			zone = append(zone, host)
		}
	}
	zone = order(zone, nil)
	addresses := make([]netip.AddrPort, 0, zoneRelays)
	for _, host := range zone[:min(len(zone), zoneRelays)] {
		if host.Name == f.settings.Node {
			return nil
		}
		addresses = append(addresses, host.Peer)
	}
	return addresses
}

// locality counts, for each zone, the shards of scatters with a server there.
func (f *Forwarder) locality() map[string]int {
	view := f.registrar.View()
	if view == nil {
		return nil
	}
	return view.Locality
}
