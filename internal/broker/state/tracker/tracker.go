package tracker

import (
	"slices"
	"sync"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/state/holder"
	"github.com/yuccarock/yuccarock/internal/broker/state/indexer"
	"github.com/yuccarock/yuccarock/pkg/configurator"
)

// latencyKey names the latency record of a shard.
type latencyKey struct {
	service string
	shard   broker.ShardName
}

// Tracker keeps the records of all backend servers and shards; only its writers take a lock.
type Tracker struct {
	view *holder.Holder[View]

	mu        sync.Mutex
	arrivals  uint64
	servers   map[broker.ServerName]*Server
	latencies map[latencyKey]*Latency
	rhythm    rhythm
}

// New returns a tracker without a configuration.
func New() *Tracker {
	return &Tracker{
		view:      holder.New(&View{Table: indexer.New(0, &configurator.Config{})}),
		servers:   map[broker.ServerName]*Server{},
		latencies: map[latencyKey]*Latency{},
	}
}

// View returns the present view; a query keeps the view that it started with.
func (t *Tracker) View() *View { return t.view.Load() }

// Server returns the record of a server, or nil.
func (t *Tracker) Server(name broker.ServerName) *Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.servers[name]
}

// Adopt replaces the view by one of table; records of servers and shards that stay are kept.
func (t *Tracker) Adopt(table *indexer.Table) {
	t.mu.Lock()
	defer t.mu.Unlock()
	view := &View{
		Table:    table,
		services: make(map[string]*Service, len(table.Config.Services)),
		places:   make(map[broker.ServerName][]place, len(table.Config.Servers)),
	}
	latencies := make(map[latencyKey]*Latency, len(t.latencies))
	for i := range table.Config.Services {
		resolved := table.Service(table.Config.Services[i].Name)
		view.services[resolved.Name] = t.track(view, resolved, latencies)
	}
	for name := range t.servers {
		if table.Server(name) == nil {
			delete(t.servers, name)
		}
	}
	t.latencies = latencies
	t.view.Update(func(*View) *View { return view })
}

func (t *Tracker) track(view *View, resolved *indexer.Service, latencies map[latencyKey]*Latency) *Service {
	service := &Service{
		Service: resolved,
		Tracked: make([]Shard, len(resolved.Shards)),
		byName:  make(map[broker.ShardName]int, len(resolved.Shards)),
		counts:  map[broker.Snapshot]int{},
	}
	quantiles := quantilesOf(view.Table.Config, resolved.Name)
	for i, shard := range resolved.Shards {
		key := latencyKey{service: resolved.Name, shard: shard.Name}
		latency := t.latencies[key]
		if latency == nil {
			latency = newLatency(quantiles)
		} else {
			latency.setQuantiles(quantiles)
		}
		latencies[key] = latency
		service.Tracked[i] = Shard{Name: shard.Name, Latency: latency}
		service.byName[shard.Name] = i
		for _, server := range shard.Servers {
			name := broker.ServerName(server.Name)
			service.Tracked[i].Replicas = append(service.Tracked[i].Replicas, Replica{
				Server: t.server(name),
				Serves: view.Table.ServesNewWork(server),
			})
			view.places[name] = append(view.places[name], place{service: service, shard: i})
		}
	}
	service.publish()
	for i := range service.Tracked {
		service.update(i)
	}
	return service
}

// quantilesOf returns the quantiles of latency that the request kinds of a service need.
func quantilesOf(config *configurator.Config, service string) []float64 {
	quantiles := []float64{CanaryQuantile}
	for i := range config.RequestKinds {
		kind := &config.RequestKinds[i]
		if kind.Service == service && kind.HedgeQuantile > 0 && !slices.Contains(quantiles, kind.HedgeQuantile) {
			quantiles = append(quantiles, kind.HedgeQuantile)
		}
	}
	return quantiles
}

func (t *Tracker) server(name broker.ServerName) *Server {
	server := t.servers[name]
	if server == nil {
		server = newServer(name, &t.rhythm)
		t.servers[name] = server
	}
	return server
}

// Apply takes an announcement of an owner and returns whether it changed what readers see; announcements older
// than one already known of the same owner are ignored.
func (t *Tracker) Apply(state broker.ServerState) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.arrivals++
	server := t.server(state.Server)
	if !server.apply(state, t.arrivals) {
		return false
	}
	t.refresh(server)
	return true
}

// OwnerDown stops using the announcements of a node whose link went down, until it announces again.
func (t *Tracker) OwnerDown(owner broker.NodeID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, server := range t.servers {
		if server.reject(owner, true) {
			t.refresh(server)
		}
	}
}

// NotOwner falls back to the announcement of another owner, if there is one, after owner denied owning a server.
func (t *Tracker) NotOwner(name broker.ServerName, owner broker.NodeID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if server := t.servers[name]; server != nil && server.reject(owner, false) {
		t.refresh(server)
	}
}

// refresh updates the snapshots of the services that a changed server belongs to.
func (t *Tracker) refresh(server *Server) {
	for _, at := range t.view.Load().places[server.Name] {
		at.service.update(at.shard)
	}
}
