package delegator

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
)

const (
	// minGroup is the number of sub-requests from which a delegation is smaller than the requests and answers it replaces.
	minGroup = 2
	// minAvoidTime and maxAvoidTime bound how long a host is avoided after consecutive failures.
	minAvoidTime = 250 * time.Millisecond
	maxAvoidTime = 4 * time.Second
	// defaultOverhead is assumed before the first results of a host.
	defaultOverhead = 4 * time.Millisecond
	// overheadDivisor is the inverse weight of one observation in the moving average of a host's overhead.
	overheadDivisor = 8
	// maxOverhead is the overhead above which a host is too slow to send to its servers faster than this host does.
	maxOverhead = 12 * time.Millisecond
)

// Delegates are the hosts to which sub-requests can be delegated; it is safe for concurrent use.
type Delegates struct {
	zone string // of this host

	mu    sync.Mutex
	zones map[string][]netip.AddrPort
	hosts map[netip.AddrPort]*observation
}

// observation is what this host knows of a delegate from its delegations.
type observation struct {
	process    string
	overhead   time.Duration // moving average of the time that a delegation adds to the exchanges
	failures   int           // in a row
	avoidUntil time.Time
}

// New returns the delegates of a host in zone, at first none.
func New(zone string) *Delegates {
	return &Delegates{zone: zone, zones: map[string][]netip.AddrPort{}, hosts: map[netip.AddrPort]*observation{}}
}

// Set replaces the hosts; those in the own zone are not used.
func (d *Delegates) Set(hosts []broker.HostRecord) {
	d.mu.Lock()
	defer d.mu.Unlock()
	zones := make(map[string][]netip.AddrPort)
	observations := make(map[netip.AddrPort]*observation, len(hosts))
	for i := range hosts {
		host := &hosts[i]
		if host.Zone == d.zone || !host.Peer.IsValid() {
			continue
		}
		zones[host.Zone] = append(zones[host.Zone], host.Peer)
		observed := d.hosts[host.Peer]
		if observed == nil || observed.process != host.Process {
			observed = &observation{process: host.Process, overhead: defaultOverhead}
		}
		observations[host.Peer] = observed
	}
	d.zones, d.hosts = zones, observations
}

// Zones returns the zones with a host that is not being avoided, in random order.
func (d *Delegates) Zones(now time.Time) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	usable := make([]string, 0, len(d.zones))
	for zone := range d.zones {
		if _, ok := d.pick(zone, now); ok {
			usable = append(usable, zone)
		}
	}
	rand.Shuffle(len(usable), func(i, k int) { usable[i], usable[k] = usable[k], usable[i] })
	return usable
}

// Group is a set of sub-requests to delegate to one host.
type Group struct {
	Host netip.AddrPort
	// Members are positions in the list that the plan was made for.
	Members []int
	// Overhead is the time that the delegation is expected to add to the exchanges with the servers.
	Overhead time.Duration
}

// SubRequest is what a plan needs to know of a sub-request.
type SubRequest struct {
	Zone string // of its server
	// First is whether it is the first attempt at its shard.
	First bool
}

// Plan groups sub-requests by the zones of their servers. Those that are in no group are sent by this host: sub-requests
// to its own zone, to a zone without a usable host, or too few for a delegation to be smaller than they are. Only first
// attempts are delegated: merged answers cannot be separated, so that a shard must not be in two delegations.
func (d *Delegates) Plan(subRequests []SubRequest, now time.Time) []Group {
	byZone := make(map[string][]int)
	for i, sub := range subRequests {
		if sub.First && sub.Zone != d.zone {
			byZone[sub.Zone] = append(byZone[sub.Zone], i)
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	var groups []Group
	for zone, members := range byZone {
		if len(members) < minGroup {
			continue
		}
		if host, ok := d.pick(zone, now); ok {
			groups = append(groups, Group{Host: host, Members: members, Overhead: d.hosts[host].overhead})
		}
	}
	return groups
}

// pick returns a random host of a zone that is not being avoided.
func (d *Delegates) pick(zone string, now time.Time) (netip.AddrPort, bool) {
	hosts := d.zones[zone]
	if len(hosts) == 0 {
		return netip.AddrPort{}, false
	}
	first := rand.IntN(len(hosts))
	for i := range hosts {
		host := hosts[(first+i)%len(hosts)]
		if !now.Before(d.hosts[host].avoidUntil) {
			return host, true
		}
	}
	return netip.AddrPort{}, false
}

// Answered records the overhead of a delegation from its first results.
func (d *Delegates) Answered(host netip.AddrPort, overhead time.Duration, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	observed := d.hosts[host]
	if observed == nil {
		return
	}
	observed.overhead += (overhead - observed.overhead) / overheadDivisor
	if overhead > maxOverhead {
		d.avoid(observed, now)
	}
}

// Completed records that a host sent all results of a delegation.
func (d *Delegates) Completed(host netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if observed := d.hosts[host]; observed != nil && observed.overhead <= maxOverhead {
		observed.failures, observed.avoidUntil = 0, time.Time{}
	}
}

// Failed avoids a host for a while, because it did not answer in time or could not run a delegation.
func (d *Delegates) Failed(host netip.AddrPort, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if observed := d.hosts[host]; observed != nil {
		d.avoid(observed, now)
	}
}

func (d *Delegates) avoid(observed *observation, now time.Time) {
	if now.Before(observed.avoidUntil) {
		return // a delegation that was sent before the host was avoided
	}
	observed.avoidUntil = now.Add(min(minAvoidTime<<min(observed.failures, 10), maxAvoidTime))
	observed.failures++
}
