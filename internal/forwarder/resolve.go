package forwarder

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/prober"
)

const (
	// maxServingHosts is the maximum number of addresses in a resolve answer.
	maxServingHosts = 64
	// minServingHosts is the minimum number of serving hosts if there are as many: one may fail while another is being
	// replaced.
	minServingHosts = 3
	// minCapacity is the minimum total capacity of the serving hosts, in processor cores.
	minCapacity = 1.2
	// spareCandidates is how many further hosts are probed, so that hosts that take over are known to be running. While too
	// few hosts answer, it doubles with each round.
	spareCandidates = 4
	// maxAnswerAge is how long a host is named after its last answer to a probe. It is no shorter than the time between two
	// answers to a host in standby.
	maxAnswerAge = standbyProbeInterval + prober.DefaultTimeout
	// A look-up has the hosts probed if the last probes are older than lookUpProbeAge, as in standby. It waits up to
	// lookUpProbeWait for that only if no host is known to be running; callers wait 1 s for an answer.
	lookUpProbeAge  = 3 * prober.DefaultInterval / 2
	lookUpProbeWait = 300 * time.Millisecond
)

// Resolve returns the addresses that a caller in a zone should use, and for how long. If there are none, the caller
// should ask another host.
type Resolve func(zone string) (entries []netip.AddrPort, timeToLive time.Duration)

// Resolve returns the addresses of the serving hosts in random order, and for how long to use them. Serving hosts are
// only as many as the load and the loss of some require, because each then sees more of every server and all hold fewer
// connections; hosts in the zones of the servers come first.
func (f *Forwarder) Resolve(string) ([]netip.AddrPort, time.Duration) {
	f.meters.resolve.Inc()
	f.renewProbes()
	hosts := f.namedHosts()
	rand.Shuffle(len(hosts), func(i, k int) { hosts[i], hosts[k] = hosts[k], hosts[i] })
	entries := make([]netip.AddrPort, 0, len(hosts))
	for i := range hosts {
		entries = append(entries, hosts[i].Entry)
	}
	return entries, f.lifetime.current(time.Now())
}

// namedHosts returns the hosts for a resolve answer: of those that have answered a probe recently, the ones that callers are
// sent to. A resolver that stops names all that take requests: its callers keep these addresses until they find another
// resolver.
func (f *Forwarder) namedHosts() []broker.HostRecord {
	healthy, suspect := f.prober.Confirmed(maxAnswerAge)
	healthy = f.withOwn(healthy)
	if f.stopping.Load() {
		healthy = orderHosts(healthy, f.locality())
		return healthy[:min(len(healthy), maxServingHosts)]
	}
	chosen, _ := f.choose(healthy, suspect)
	return chosen
}

// renewProbes has the other hosts probed now unless they were recently. It waits only if none has answered lately: a host
// that is lost delays the end of each round.
func (f *Forwarder) renewProbes() {
	last, next := f.probeRounds.state()
	if time.Since(last) < lookUpProbeAge {
		return
	}
	f.requestProbes()
	if healthy, _ := f.prober.Confirmed(maxAnswerAge); len(healthy) > 0 {
		return
	}
	timer := time.NewTimer(lookUpProbeWait)
	defer timer.Stop()
	select {
	case <-next:
	case <-timer.C:
	}
}

// serving returns the hosts that callers are sent to as far as is known. Hosts that were not probed yet are among them, so
// that they are probed, and that the shares of this host are not too large meanwhile.
func (f *Forwarder) serving() []broker.HostRecord {
	chosen, _ := f.choose(f.usable())
	return chosen
}

// choose returns the hosts to send callers to, and whether they have the wanted capacity. A single missed answer can be a
// glitch, so a suspect host is only left out if others can take its place.
func (f *Forwarder) choose(healthy, suspect []broker.HostRecord) (chosen []broker.HostRecord, enough bool) {
	wanted, locality := f.load.wantedCapacity(), f.locality()
	chosen, enough = chooseHosts(healthy, locality, wanted)
	if len(suspect) > 0 && !enough {
		chosen, _ = chooseHosts(append(healthy, suspect...), locality, wanted)
	}
	return chosen, enough
}

// usable returns the hosts that may take requests, this one among them, and those that have missed a single probe.
func (f *Forwarder) usable() (healthy, suspect []broker.HostRecord) {
	healthy, suspect = f.prober.Usable()
	return f.withOwn(healthy), suspect
}

// withOwn adds this host if it takes requests.
func (f *Forwarder) withOwn(hosts []broker.HostRecord) []broker.HostRecord {
	if f.Ready() == nil {
		hosts = append(hosts, f.ownRecord())
	}
	return hosts
}

// zoneDelegates returns one host for each zone that has servers of scatters and no serving host. They send requests of
// the serving hosts to the servers in their zone.
func (f *Forwarder) zoneDelegates(serving []broker.HostRecord) []broker.HostRecord {
	hosts, _ := f.usable()
	return chooseZoneDelegates(hosts, serving, f.locality())
}

func chooseZoneDelegates(hosts, serving []broker.HostRecord, locality map[string]int) []broker.HostRecord {
	covered := make(map[string]bool, len(locality))
	for i := range serving {
		covered[serving[i].Zone] = true
	}
	var chosen []broker.HostRecord
	for _, host := range orderHosts(hosts, locality) {
		if !covered[host.Zone] && locality[host.Zone] > 0 {
			covered[host.Zone] = true
			chosen = append(chosen, host)
		}
	}
	return chosen
}

func (f *Forwarder) ownRecord() broker.HostRecord {
	return broker.HostRecord{
		Name: f.settings.Node, Zone: f.settings.Zone, Entry: f.settings.Entry, Readiness: f.settings.Readiness,
		Capacity: f.settings.Capacity, Peer: f.settings.Peer,
	}
}

func compareNames(a, b broker.HostRecord) int { return cmp.Compare(a.Name, b.Name) }

// chooseHosts returns the hosts to send callers to, which are the first in order that reach the wanted capacity, and
// whether they reach it.
func chooseHosts(
	hosts []broker.HostRecord, locality map[string]int, wanted float64,
) (chosen []broker.HostRecord, enough bool) {
	hosts = orderHosts(hosts, locality)
	capacity, count := 0.0, 0
	for !enough && count < len(hosts) {
		capacity += hosts[count].Capacity
		count++
		enough = count >= maxServingHosts || count >= minServingHosts && capacity >= wanted
	}
	return withSecondZone(hosts, count), enough
}

// withSecondZone returns the first count hosts and, if they are all in one zone, a host of another zone. A zone can be
// lost as a whole, and callers could then reach none of the hosts that would tell them other addresses.
func withSecondZone(hosts []broker.HostRecord, count int) []broker.HostRecord {
	chosen := hosts[:count]
	elsewhere := func(host broker.HostRecord) bool { return host.Zone != hosts[0].Zone }
	if count == 0 || slices.ContainsFunc(chosen, elsewhere) {
		return chosen
	}
	if i := slices.IndexFunc(hosts[count:], elsewhere); i >= 0 {
		chosen = append(slices.Clone(hosts[:min(count, maxServingHosts-1)]), hosts[count+i])
	}
	return chosen
}

// orderHosts sorts hosts by preference: first by locality of their zone, then by capacity, and then alternating between
// zones.
func orderHosts(hosts []broker.HostRecord, locality map[string]int) []broker.HostRecord {
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

// probeCandidates returns the names of the serving hosts, of the spares next in order and of the delegates. Only these are
// probed, because probes between all hosts would grow with the square of their number. A resolver that stops probes all.
func (f *Forwarder) probeCandidates(spares int) []string {
	serving := make(map[string]bool)
	hosts := f.serving()
	for _, host := range hosts {
		serving[host.Name] = true
	}
	known := orderHosts(append(f.prober.Known(), f.ownRecord()), f.locality())
	last := 0
	for i, host := range known {
		if serving[host.Name] || f.stopping.Load() {
			last = i
		}
	}
	names := make([]string, 0, last+1+spares)
	for _, host := range known[:min(len(known), last+1+spares)] {
		names = append(names, host.Name)
	}
	for _, host := range f.zoneDelegates(hosts) {
		if !slices.Contains(names, host.Name) {
			names = append(names, host.Name)
		}
	}
	return names
}

// lacksAnswers returns whether some of the probed hosts were silent, and the ones that have answered recently have less than
// the wanted capacity although further hosts may have it.
func (f *Forwarder) lacksAnswers(probed []string) bool {
	silent := f.prober.Silent()
	if !slices.ContainsFunc(probed, func(name string) bool { return silent[name] }) {
		return false
	}
	healthy, suspect := f.prober.Confirmed(maxAnswerAge)
	if _, enough := f.choose(f.withOwn(healthy), suspect); enough {
		return false
	}
	healthy, _ = f.usable()
	return slices.ContainsFunc(healthy, func(host broker.HostRecord) bool { return !slices.Contains(probed, host.Name) })
}

// fallbackAddresses returns the addresses of the hosts that are asked for their last state of a collection if this host
// starts while it cannot read the store.
func (f *Forwarder) fallbackAddresses() []netip.AddrPort {
	fallbacks := slices.Clone(f.reloadable.Load().Seeds)
	for _, host := range f.prober.Known() {
		if host.Peer.IsValid() && !slices.Contains(fallbacks, host.Peer) {
			fallbacks = append(fallbacks, host.Peer)
		}
	}
	return fallbacks
}

// locality returns the locality of each zone, or nil before the first configuration.
func (f *Forwarder) locality() map[string]int {
	view := f.registrar.View()
	if view == nil {
		return nil
	}
	return view.Locality
}
