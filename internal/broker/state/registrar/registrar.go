package registrar

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/state/holder"
	"github.com/yuccarock/yuccarock/internal/broker/state/indexer"
	"github.com/yuccarock/yuccarock/internal/broker/state/router"
	"github.com/yuccarock/yuccarock/internal/broker/state/tracker"
	"github.com/yuccarock/yuccarock/pkg/configurator"
)

const (
	// expiryGrace is how long a server stays usable after its entry was missing from a full list. Entries expire while the
	// store is unavailable; those of running servers are back within about 2 s of its return.
	expiryGrace = 2200 * time.Millisecond
	// outageShare is the share of the servers registered earlier that are registered after an outage of the store has ended;
	// while fewer are, the rest may have expired during it.
	outageShare = 0.9
	// connectionShare is the share of a server's connection limit that is divided among the hosts that serve callers. A
	// server keeps the connections of hosts that lost power for a while, beside those that they open after a restart.
	connectionShare = 0.45
	// assumedHostCount is the number of hosts assumed to share a server while the other hosts are unknown.
	assumedHostCount = 3
)

// Instance is a registered backend server with the policy of its service.
type Instance struct {
	broker.Registration
	Policy broker.ServicePolicy
}

// View is the state that a request uses throughout; it is immutable and consistent.
type View struct {
	Catalog   *broker.Catalog
	Routes    *router.Table
	Tracked   *tracker.View
	Instances map[broker.ServerName]*Instance
	// Locality is the share of the scatter shards with a usable server in an availability zone, by zone, in quarters (0 to
	// 4). The rounding keeps it unchanged when single servers are lost.
	Locality map[string]int
}

// KindName returns the request kind of a route's requests to a service, or of its scatters if service is empty. A host and a
// prefix identify a route; its name does not, and any string may be a part of another.
func KindName(route *broker.Route, service string) string {
	quoted := make([]byte, 0, len(route.Host)+len(route.Prefix)+len(service)+len(`""""""`))
	for _, part := range []string{route.Host, route.Prefix, service} {
		quoted = strconv.AppendQuote(quoted, part)
	}
	return string(quoted)
}

// Sink receives the addresses and connection limits of the servers in use.
type Sink interface {
	SetTable(table *indexer.Table)
	Retain(server broker.ServerName, minIdle int)
}

// serverEntry is a registration with the time until which the server is cold.
type serverEntry struct {
	broker.Registration
	coldUntil time.Time
}

// Registrar builds the view from its inputs; it is safe for concurrent use.
type Registrar struct {
	tracker *tracker.Tracker
	sink    Sink
	view    *holder.Holder[View]
	changed atomic.Pointer[chan struct{}]

	mu           sync.Mutex
	zone         string   // availability zone of this host
	zones        []string // all availability zones in the settings
	catalog      *broker.Catalog
	servers      map[string]serverEntry          // by ID
	missingUntil map[string]time.Time            // end of the grace by ID, for entries that may have expired
	missing      map[string]serverEntry          // last known entries of these IDs
	departed     map[broker.ServerName]time.Time // when processes were removed or began to drain, for departureMemory
	heldUntil    map[broker.ServerName]time.Time // end of the time for which processes count as draining
	restored     []string                        // IDs of the servers that were registered earlier, until the next full list
	zonesToLeave map[string]bool
	zonesHeld    map[string]time.Time // end of the time for which zones are left that the older copy of the store lacks
	hostCount    int
	role         Role
	revision     broker.Revision
	sequence     uint64
}

// New returns a registrar of a host in zone without a configuration.
func New(track *tracker.Tracker, sink Sink, zone string, zones []string) *Registrar {
	r := &Registrar{
		tracker: track, sink: sink, view: holder.New[View](nil), zone: zone, zones: zones,
		servers: map[string]serverEntry{}, missingUntil: map[string]time.Time{}, missing: map[string]serverEntry{},
		zonesToLeave: map[string]bool{}, zonesHeld: map[string]time.Time{},
		departed: map[broker.ServerName]time.Time{}, heldUntil: map[broker.ServerName]time.Time{},
	}
	changed := make(chan struct{})
	r.changed.Store(&changed)
	return r
}

// View returns the current view, or nil before the first configuration.
func (r *Registrar) View() *View { return r.view.Load() }

// Changed returns a channel that is closed when there is another view than the current one.
func (r *Registrar) Changed() <-chan struct{} { return *r.changed.Load() }

// Adopt applies catalog if it is newer than the current configuration, and reports whether it did.
func (r *Registrar) Adopt(catalog *broker.Catalog) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.catalog != nil && catalog.Version <= r.catalog.Version {
		return false
	}
	r.catalog = catalog
	r.rebuild()
	return true
}

// Origin is how the registered servers became known.
type Origin uint8

const (
	// FromChanges is the origin of servers that became known by changes: a missing entry was removed.
	FromChanges Origin = iota
	// FromListing is the origin of a full list that follows the previous state closely: a missing entry was removed.
	FromListing
	// FromListingAfterOutage is the origin of a full list after a time in which the store may have been unavailable, so that
	// missing entries may have expired. Their servers stay usable for a grace.
	FromListingAfterOutage
	// FromOlderCopy is the origin of the first full list after the store came back from an older copy. Missing servers stay
	// usable for a grace, and those that had left or begun to drain stay so, until servers have written their entries again.
	FromOlderCopy
)

// SetServers replaces the registered servers by ID.
func (r *Registrar) SetServers(servers map[string]broker.Registration, origin Origin, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := make(map[string]serverEntry, len(servers))
	for id, server := range servers {
		entry, ok := r.servers[id]
		if !ok || entry.Registration != server {
			entry = serverEntry{Registration: server, coldUntil: now.Add(server.WarmupLeft)}
		}
		next[id] = entry
		if !server.StartedAt.Before(r.missing[id].StartedAt) { // else the entry is that of an earlier process
			delete(r.missingUntil, id)
			delete(r.missing, id)
		}
	}
	for id, entry := range r.servers {
		current, ok := next[id]
		if missing := !ok || current.StartedAt.Before(entry.StartedAt); missing && origin >= FromListingAfterOutage && !entry.Draining {
			r.missingUntil[id], r.missing[id] = now.Add(expiryGrace), entry
		}
	}
	r.recordDepartures(next, origin, now)
	if origin == FromOlderCopy {
		r.holdDeparted(next, now)
	}
	r.servers = next
	if origin != FromChanges && origin != FromOlderCopy {
		r.dropDeparted()
	}
	r.dropExpired(now)
	r.rebuild()
}

// dropDeparted drops restored servers that are not registered if nearly all others are: entries that expired during an
// outage of the store are missing together, and a single one was removed because its server has left.
func (r *Registrar) dropDeparted() {
	var absent []string
	for _, id := range r.restored {
		if _, ok := r.servers[id]; !ok {
			absent = append(absent, id)
		}
	}
	if float64(len(absent)) <= float64(len(r.restored))*(1-outageShare) {
		for _, id := range absent {
			delete(r.missingUntil, id)
			delete(r.missing, id)
		}
	}
	r.restored = nil
}

// ActiveServers returns the registered servers that are not draining, sorted by ID.
func (r *Registrar) ActiveServers() []broker.Registration {
	r.mu.Lock()
	defer r.mu.Unlock()
	active := make([]broker.Registration, 0, len(r.servers))
	for _, id := range slices.Sorted(maps.Keys(r.servers)) {
		if entry := r.servers[id]; !entry.Draining {
			active = append(active, entry.Registration)
		}
	}
	return active
}

// RestoreServers adds servers that were registered earlier. Those that are not registered now are usable for a grace,
// because entries expire while the store is unavailable, unless nearly all others are registered.
func (r *Registrar) RestoreServers(servers []broker.Registration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, server := range servers {
		r.restored = append(r.restored, server.ID)
		if _, ok := r.servers[server.ID]; !ok {
			r.missingUntil[server.ID], r.missing[server.ID] = now.Add(expiryGrace), serverEntry{Registration: server}
		}
	}
	if len(r.servers) > 0 {
		r.dropDeparted()
	}
	r.rebuild()
}

// ExpireServers drops servers whose grace has ended. It returns when the next grace ends, or the zero time.
func (r *Registrar) ExpireServers(now time.Time) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.dropExpired(now) {
		r.rebuild()
	}
	var next time.Time
	soonest := func(until time.Time) {
		if next.IsZero() || until.Before(next) {
			next = until
		}
	}
	for _, until := range r.missingUntil {
		soonest(until)
	}
	for _, until := range r.heldUntil {
		soonest(until)
	}
	for _, until := range r.zonesHeld {
		soonest(until)
	}
	return next
}

func (r *Registrar) dropExpired(now time.Time) bool {
	count := func() int { return len(r.missingUntil) + len(r.heldUntil) + len(r.zonesHeld) }
	before := count()
	maps.DeleteFunc(r.missingUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
	maps.DeleteFunc(r.missing, func(id string, _ serverEntry) bool { return r.missingUntil[id].IsZero() })
	maps.DeleteFunc(r.heldUntil, func(_ broker.ServerName, until time.Time) bool { return !now.Before(until) })
	maps.DeleteFunc(r.zonesHeld, func(_ string, until time.Time) bool { return !now.Before(until) })
	return count() != before
}

// SetZonesToLeave sets the zones whose servers receive no more requests.
func (r *Registrar) SetZonesToLeave(zones []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := make(map[string]bool, len(zones))
	for _, zone := range zones {
		next[zone] = true
	}
	if maps.Equal(next, r.zonesToLeave) {
		return
	}
	r.zonesToLeave = next
	r.rebuild()
}

// SetHostCount sets the number of hosts that share the connections and the warmup rate of each server.
func (r *Registrar) SetHostCount(hosts int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if hosts == r.hostCount {
		return
	}
	r.hostCount = hosts
	r.rebuild()
}

// Role is what a host sends requests to servers for.
type Role uint8

const (
	// RoleServing is the role of a host that callers are sent to.
	RoleServing Role = iota
	// RoleDelegate is the role of a host that only sends requests of other hosts to the servers in its zone.
	RoleDelegate
	// RoleStandby is the role of a host that is not used at present.
	RoleStandby
)

// SetRole sets the role of this host, which decides the servers to which connections are opened in advance.
func (r *Registrar) SetRole(role Role) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if role == r.role {
		return
	}
	r.role = role
	if view := r.view.Load(); view != nil {
		for name, instance := range view.Instances {
			r.sink.Retain(name, r.minIdleConnections(instance))
		}
	}
}

// minIdleConnections returns how many idle connections to a server are opened in advance.
func (r *Registrar) minIdleConnections(instance *Instance) int {
	if r.role == RoleServing || r.role == RoleDelegate && instance.Zone == r.zone {
		return 1
	}
	return 0
}

// rebuild publishes a view of the current inputs.
func (r *Registrar) rebuild() {
	if r.catalog == nil {
		return
	}
	r.revision++
	config, instances, cold := r.buildConfig()
	table := indexer.New(r.revision, config)
	r.sink.SetTable(table)
	r.tracker.Adopt(table)
	for name, instance := range instances {
		r.applyServer(name, instance, cold[name])
	}
	tracked := r.tracker.View()
	r.view.Update(func(current *View) *View {
		next := &View{
			Catalog: r.catalog, Tracked: tracked, Instances: instances, Locality: r.countLocality(instances),
		}
		switch {
		case current == nil:
			next.Routes = router.New(r.catalog.Routes, nil)
		case current.Catalog == r.catalog:
			next.Routes = current.Routes
		default:
			next.Routes = router.New(r.catalog.Routes, current.Routes)
		}
		return next
	})
	next := make(chan struct{})
	close(*r.changed.Swap(&next))
}

// applyServer tells the tracker that a server takes requests, and retains connections to it.
func (r *Registrar) applyServer(name broker.ServerName, instance *Instance, coldUntil time.Time) {
	r.sequence++
	r.tracker.Apply(broker.ServerState{
		Server: name, Phase: broker.PhaseWarm, Limit: instance.Slots, BootID: string(name), Sequence: r.sequence,
	})
	if server := r.tracker.Server(name); server != nil {
		server.SetCold(coldUntil, instance.Policy.WarmupRate/float64(cmp.Or(r.hostCount, assumedHostCount)))
	}
	r.sink.Retain(name, r.minIdleConnections(instance))
}

// buildConfig returns the configuration of the table. The requests of each route to each service form one request kind,
// whose shards have the registered servers as replicas.
func (r *Registrar) buildConfig() (
	*configurator.Config, map[broker.ServerName]*Instance, map[broker.ServerName]time.Time,
) {
	config := &configurator.Config{Name: "routes"}
	instances := make(map[broker.ServerName]*Instance, len(r.servers))
	cold := make(map[broker.ServerName]time.Time)
	byService := make(map[string][]string)
	zones := make(map[string]bool, len(r.zones))
	for _, zone := range r.zones {
		zones[zone] = true
	}
	add := func(entry serverEntry) {
		instance := &Instance{Registration: entry.Registration, Policy: r.catalog.Services[entry.Service]}
		name := entry.Name()
		instance.Draining = instance.Draining || !r.heldUntil[name].IsZero()
		if instances[name] != nil {
			return
		}
		instances[name], cold[name] = instance, entry.coldUntil
		zones[entry.Zone] = true
		config.Servers = append(config.Servers, r.serverConfig(name, instance))
		byService[entry.Service] = append(byService[entry.Service], string(name))
	}
	for _, id := range slices.Sorted(maps.Keys(r.servers)) {
		add(r.servers[id])
	}
	for _, id := range slices.Sorted(maps.Keys(r.missing)) {
		add(r.missing[id])
	}
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		state := configurator.ZoneIn
		if r.leaves(zone) {
			state = configurator.ZoneOut
		}
		config.Zones = append(config.Zones, configurator.Zone{Name: zone, State: state})
	}
	for i := range r.catalog.Routes {
		addRequestKinds(config, &r.catalog.Routes[i], byService)
	}
	return config, instances, cold
}

// countLocality computes View.Locality.
func (r *Registrar) countLocality(instances map[broker.ServerName]*Instance) map[string]int {
	const steps = 4
	shards := map[string]bool{}
	for i := range r.catalog.Routes {
		for _, shard := range r.catalog.Routes[i].Shards {
			shards[shard] = true
		}
	}
	covered := map[string]map[string]bool{}
	for _, instance := range instances {
		if instance.Draining || r.leaves(instance.Zone) || !shards[instance.Service] {
			continue
		}
		if covered[instance.Zone] == nil {
			covered[instance.Zone] = map[string]bool{}
		}
		covered[instance.Zone][instance.Service] = true
	}
	locality := make(map[string]int, len(covered))
	for zone, services := range covered {
		locality[zone] = (len(services)*steps + len(shards)/2) / max(len(shards), 1)
	}
	return locality
}

func (r *Registrar) serverConfig(name broker.ServerName, instance *Instance) configurator.Server {
	hosts := cmp.Or(r.hostCount, assumedHostCount)
	share := int(float64(instance.Policy.MaxConnections) * connectionShare / float64(hosts))
	return configurator.Server{
		Name: string(name), Address: instance.Address, Zone: instance.Zone, Slots: instance.Slots,
		Connections: max(share, 1), Draining: instance.Draining,
	}
}

// addRequestKinds adds the request kinds of a route and their services to config.
func addRequestKinds(config *configurator.Config, route *broker.Route, byService map[string][]string) {
	add := func(name string, shards []string) {
		service := configurator.Service{Name: name, Routing: configurator.RoutingScatter}
		for _, shard := range shards {
			service.Shards = append(service.Shards, configurator.Shard{Name: shard, Servers: byService[shard]})
		}
		kind := configurator.RequestKind{
			Name: name, Service: name, Idempotent: route.Idempotent, Priority: route.Priority,
			Deadline: configurator.Duration(route.Timeout), MinCoverage: 1, Canary: configurator.CanaryNever,
		}
		if route.Scatter() {
			kind.MinCoverage = route.MinCoverage
		}
		if route.Idempotent {
			kind.HedgeQuantile = hedgeQuantile
		}
		config.Services = append(config.Services, service)
		config.RequestKinds = append(config.RequestKinds, kind)
	}
	if route.Scatter() {
		add(KindName(route, ""), route.Shards)
		return
	}
	for _, target := range route.Targets {
		add(KindName(route, target.Service), []string{target.Service})
	}
}

// hedgeQuantile is the quantile of a shard's latency after which an idempotent attempt is hedged. Pauses that were not
// predicted and 1% of long requests exceed it; the rest of the retry budget is left for faults.
const hedgeQuantile = 0.95
