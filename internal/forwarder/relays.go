package forwarder

import (
	"slices"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/relayer"
)

const (
	// rootRelays is the number of hosts that follow the store directly, in two zones if there are two; one may fail. Each
	// change of a collection costs one call for each of them.
	rootRelays = 2
	// relaysPerZone is the number of hosts in each zone that the others of the zone read collections from; one may fail.
	relaysPerZone = 2
)

// relayPlan says where a host reads the collections of the store.
type relayPlan struct {
	// upstream are the hosts to read from; none for a host that follows the store itself.
	upstream []relayer.Candidate
	// passes reports whether other hosts read from this one.
	passes bool
}

// planRelays returns the plan of a host among all registered hosts, itself among them. The load that it answers is changes
// of the store, which few hosts read: the roots pass them to two relays in each zone, and these to the rest of the zone,
// which asks the roots while it has no relay.
func planRelays(self broker.HostRecord, hosts []broker.HostRecord) relayPlan {
	hosts = slices.DeleteFunc(slices.Clone(hosts), func(host broker.HostRecord) bool { return !host.Peer.IsValid() })
	hosts = orderHosts(hosts, nil)
	roots := chooseRoots(hosts)
	isSelf := func(host broker.HostRecord) bool { return host.Name == self.Name }
	if slices.ContainsFunc(roots, isSelf) {
		return relayPlan{passes: true}
	}
	zone := slices.DeleteFunc(hosts, func(host broker.HostRecord) bool { return host.Zone != self.Zone })
	zone = zone[:min(len(zone), relaysPerZone)]
	plan := relayPlan{passes: slices.ContainsFunc(zone, isSelf)}
	if !plan.passes {
		plan.add(self, zone)
	}
	plan.add(self, roots)
	return plan
}

// add adds hosts to upstream that are not in it, the ones in the same zone before all others.
func (p *relayPlan) add(self broker.HostRecord, hosts []broker.HostRecord) {
	for i := range hosts {
		candidate := relayer.Candidate{Address: hosts[i].Peer, Far: hosts[i].Zone != self.Zone}
		if !slices.Contains(p.upstream, candidate) {
			p.upstream = append(p.upstream, candidate)
		}
	}
	slices.SortStableFunc(p.upstream, func(a, b relayer.Candidate) int {
		switch {
		case a.Far == b.Far:
			return 0
		case b.Far:
			return -1
		default:
			return 1
		}
	})
}

// chooseRoots returns the first host in order and the first one of another zone, or else the next one.
func chooseRoots(ordered []broker.HostRecord) []broker.HostRecord {
	if len(ordered) <= rootRelays {
		return slices.Clone(ordered)
	}
	second := slices.IndexFunc(ordered, func(host broker.HostRecord) bool { return host.Zone != ordered[0].Zone })
	return []broker.HostRecord{ordered[0], ordered[max(second, 1)]}
}

// updateRelays decides anew where this host reads the collections.
func (f *Forwarder) updateRelays() {
	self := f.ownRecord()
	plan := planRelays(self, append(f.prober.Known(), self))
	f.passesOn.Store(plan.passes)
	f.relays.Set(plan.upstream, plan.passes)
}

// relaysCollections reports whether other hosts may read collections from this one.
func (f *Forwarder) relaysCollections() bool { return f.passesOn.Load() || f.relays.Direct() }
