package registrar

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/state/holder"
	"github.com/yuccarock/yuccarock/internal/broker/state/indexer"
	"github.com/yuccarock/yuccarock/internal/broker/state/router"
	"github.com/yuccarock/yuccarock/internal/broker/state/tracker"
	"github.com/yuccarock/yuccarock/pkg/configurator"
)

const (
	// lapseGrace is how long a server stays usable after its entry was found missing in a whole reading. Entries expire
	// while the store is away, and those of living servers are back within about 2 s of its return.
	lapseGrace = 2200 * time.Millisecond
	// connectionShare of a server's connections is divided among the hosts that serve callers. When hosts lose power, a
	// server keeps their connections for a while beside the ones that they open after their return.
	connectionShare = 0.45
	// assumedHosts divides the connections of a server while the other hosts are not known yet.
	assumedHosts = 3
)

// Instance is a registered backend server with what its service's policy says of it.
type Instance struct {
	broker.Registration
	Policy broker.ServicePolicy
}

// View is one consistent state for queries; it never changes.
type View struct {
	Catalog   *broker.Catalog
	Routes    *router.Table
	Tracked   *tracker.View
	Instances map[broker.ServerName]*Instance
	// Locality counts, for each availability zone, the shards of scatters with a usable server there, in steps of a
	// quarter of the shards, so that the loss of single servers does not change it.
	Locality map[string]int
}

// KindName names the request kind of a route's requests to one service, or of its scatters where service is empty.
func KindName(route, service string) string {
	if service == "" {
		return route
	}
	return route + "/" + service
}

// Sink takes the addresses and connection caps of the servers in force.
type Sink interface {
	SetTable(table *indexer.Table)
	Retain(server broker.ServerName, ready int)
}

// statement is a registration with the time at which it was received.
type statement struct {
	broker.Registration
	coldUntil time.Time
}

// Registrar keeps the inputs of the view; writers call it from several goroutines.
type Registrar struct {
	tracker *tracker.Tracker
	sink    Sink
	view    *holder.Holder[View]

	mu       sync.Mutex
	zones    []string // all availability zones that the settings name
	catalog  *broker.Catalog
	servers  map[string]statement // by ID
	lapsed   map[string]time.Time // IDs missing in a whole reading, with the end of their grace
	held     map[string]statement // last statement of the lapsed ones
	leaving  map[string]bool      // zones to leave
	hosts    int
	standby  bool
	revision broker.Revision
	sequence uint64
}

// New returns a registrar that has no configuration yet.
func New(track *tracker.Tracker, sink Sink, zones []string) *Registrar {
	return &Registrar{
		tracker: track, sink: sink, view: holder.New[View](nil), zones: zones,
		servers: map[string]statement{}, lapsed: map[string]time.Time{}, held: map[string]statement{},
		leaving: map[string]bool{},
	}
}

// View returns the present view, nil before the first configuration.
func (r *Registrar) View() *View { return r.view.Load() }

// Adopt takes a configuration and returns whether it is newer than the one in force; an older one is ignored.
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

// Register takes the registered servers by ID. Where whole is set they were read as a whole, so that entries that are
// missing may have expired while the store was away; otherwise a missing entry was removed.
func (r *Registrar) Register(servers map[string]broker.Registration, whole bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := make(map[string]statement, len(servers))
	for id, server := range servers {
		held, ok := r.servers[id]
		if !ok || held.Registration != server {
			held = statement{Registration: server, coldUntil: now.Add(server.WarmupLeft)}
		}
		next[id] = held
		delete(r.lapsed, id)
		delete(r.held, id)
	}
	for id, held := range r.servers {
		if _, ok := next[id]; !ok && whole && !held.Draining {
			r.lapsed[id], r.held[id] = now.Add(lapseGrace), held
		}
	}
	r.servers = next
	r.expire(now)
	r.rebuild()
}

// Known returns the registered servers that are not draining, by ID.
func (r *Registrar) Known() []broker.Registration {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := make([]broker.Registration, 0, len(r.servers))
	for _, id := range slices.Sorted(maps.Keys(r.servers)) {
		if held := r.servers[id]; !held.Draining {
			known = append(known, held.Registration)
		}
	}
	return known
}

// Recall takes servers that were registered earlier. Those that are not registered now stay usable for a grace, because
// entries expire while the store is away.
func (r *Registrar) Recall(servers []broker.Registration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, server := range servers {
		if _, ok := r.servers[server.ID]; !ok {
			r.lapsed[server.ID], r.held[server.ID] = now.Add(lapseGrace), statement{Registration: server}
		}
	}
	r.rebuild()
}

// Expire drops servers whose grace has ended and returns when the next one is due, or the zero time.
func (r *Registrar) Expire(now time.Time) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.expire(now) {
		r.rebuild()
	}
	var next time.Time
	for _, until := range r.lapsed {
		if next.IsZero() || until.Before(next) {
			next = until
		}
	}
	return next
}

func (r *Registrar) expire(now time.Time) bool {
	before := len(r.lapsed)
	maps.DeleteFunc(r.lapsed, func(_ string, until time.Time) bool { return !now.Before(until) })
	maps.DeleteFunc(r.held, func(id string, _ statement) bool { return r.lapsed[id].IsZero() })
	return len(r.lapsed) != before
}

// Leave takes the zones whose servers are to receive nothing more.
func (r *Registrar) Leave(zones []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := make(map[string]bool, len(zones))
	for _, zone := range zones {
		next[zone] = true
	}
	if maps.Equal(next, r.leaving) {
		return
	}
	r.leaving = next
	r.rebuild()
}

// Divide takes the number of hosts that share the connections and the cold rate of each server.
func (r *Registrar) Divide(hosts int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if hosts == r.hosts {
		return
	}
	r.hosts = hosts
	r.rebuild()
}

// Stand takes whether this host stands by: it then holds no connections to servers open ahead of need.
func (r *Registrar) Stand(by bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if by == r.standby {
		return
	}
	r.standby = by
	if view := r.view.Load(); view != nil {
		for name := range view.Instances {
			r.sink.Retain(name, r.ready())
		}
	}
}

// ready returns how many connections to a server are held open ahead of need.
func (r *Registrar) ready() int {
	if r.standby {
		return 0
	}
	return 1
}

// rebuild publishes a view of the present inputs.
func (r *Registrar) rebuild() {
	if r.catalog == nil {
		return
	}
	r.revision++
	config, instances, cold := r.assemble()
	table := indexer.New(r.revision, config)
	r.sink.SetTable(table)
	r.tracker.Adopt(table)
	for name, instance := range instances {
		r.announce(name, instance, cold[name])
	}
	tracked := r.tracker.View()
	r.view.Update(func(current *View) *View {
		next := &View{
			Catalog: r.catalog, Tracked: tracked, Instances: instances, Locality: r.locality(instances),
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
}

// announce tells the tracker that a server takes work.
func (r *Registrar) announce(name broker.ServerName, instance *Instance, coldUntil time.Time) {
	r.sequence++
	r.tracker.Apply(broker.ServerState{
		Server: name, Phase: broker.PhaseWarm, Limit: instance.Slots, BootID: string(name), Sequence: r.sequence,
	})
	if server := r.tracker.Server(name); server != nil {
		server.SetCold(coldUntil, instance.Policy.WarmupRate/float64(cmp.Or(r.hosts, assumedHosts)))
	}
	r.sink.Retain(name, r.ready())
}

// assemble builds the configuration of the table: each route's requests to a service are a kind of their own, whose
// shards have the registered servers as replicas.
func (r *Registrar) assemble() (
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
	add := func(held statement) {
		instance := &Instance{Registration: held.Registration, Policy: r.catalog.Services[held.Service]}
		name := held.Name()
		if instances[name] != nil {
			return
		}
		instances[name], cold[name] = instance, held.coldUntil
		zones[held.Zone] = true
		config.Servers = append(config.Servers, r.server(name, instance))
		byService[held.Service] = append(byService[held.Service], string(name))
	}
	for _, id := range slices.Sorted(maps.Keys(r.servers)) {
		add(r.servers[id])
	}
	for _, id := range slices.Sorted(maps.Keys(r.held)) {
		add(r.held[id])
	}
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		state := configurator.ZoneIn
		if r.leaving[zone] {
			state = configurator.ZoneOut
		}
		config.Zones = append(config.Zones, configurator.Zone{Name: zone, State: state})
	}
	for i := range r.catalog.Routes {
		addKinds(config, &r.catalog.Routes[i], byService)
	}
	return config, instances, cold
}

// locality counts the shards with servers in each zone.
func (r *Registrar) locality(instances map[broker.ServerName]*Instance) map[string]int {
	const steps = 4
	shards := map[string]bool{}
	for i := range r.catalog.Routes {
		for _, shard := range r.catalog.Routes[i].Shards {
			shards[shard] = true
		}
	}
	covered := map[string]map[string]bool{}
	for _, instance := range instances {
		if instance.Draining || r.leaving[instance.Zone] || !shards[instance.Service] {
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

func (r *Registrar) server(name broker.ServerName, instance *Instance) configurator.Server {
	hosts := cmp.Or(r.hosts, assumedHosts)
	share := int(float64(instance.Policy.MaxConnections) * connectionShare / float64(hosts))
	return configurator.Server{
		Name: string(name), Address: instance.Address, Zone: instance.Zone, Slots: instance.Slots,
		Connections: max(share, 1), Draining: instance.Draining,
	}
}

// addKinds adds the request kinds of a route with their services.
func addKinds(config *configurator.Config, route *broker.Route, byService map[string][]string) {
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
		add(KindName(route.Name, ""), route.Shards)
		return
	}
	for _, target := range route.Targets {
		add(KindName(route.Name, target.Service), []string{target.Service})
	}
}

// hedgeQuantile is the quantile of a shard's latency after which an idempotent attempt is hedged. Pauses that were not
// predicted and 1% of long requests are beyond it; the rest of the budget for further attempts is left for faults.
const hedgeQuantile = 0.95
