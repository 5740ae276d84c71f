package tracker

import (
	"slices"
	"sync"
	"sync/atomic"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/state/holder"
	"github.com/yuccarock/yuccarock/internal/broker/state/indexer"
	"github.com/yuccarock/yuccarock/pkg/configurator"
)

// latencyKey identifies the latency record of a shard.
type latencyKey struct {
	service string
	shard   broker.ShardName
}

// Tracker keeps the records of all backend servers and shards; View takes no lock.
type Tracker struct {
	view *holder.Holder[View]

	mu          sync.Mutex
	arrivals    uint64 // announcements received
	servers     map[broker.ServerName]*Server
	latencies   map[latencyKey]*Latency
	pausePeriod periodEstimator
	divider     atomic.Pointer[dividerRef]
}

// New returns a tracker without a configuration.
func New() *Tracker {
	return &Tracker{
		view:      holder.New(&View{Table: indexer.New(0, &configurator.Config{})}),
		servers:   map[broker.ServerName]*Server{},
		latencies: map[latencyKey]*Latency{},
	}
}

// View returns the current view; a query uses the view that it started with until its end.
func (t *Tracker) View() *View { return t.view.Load() }

// SetRateDivider sets how the rates that servers state are divided among the hosts. Without a divider, this host may use
// them whole.
func (t *Tracker) SetRateDivider(divider broker.RateDivider) { t.divider.Store(&dividerRef{divider}) }

// Server returns the record of a server, or nil.
func (t *Tracker) Server(name broker.ServerName) *Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.servers[name]
}

// Adopt replaces the view by one of table. Servers and shards that are still in it keep their records.
func (t *Tracker) Adopt(table *indexer.Table) {
	t.mu.Lock()
	defer t.mu.Unlock()
	view := &View{
		Table:     table,
		services:  make(map[string]*Service, len(table.Config.Services)),
		positions: make(map[broker.ServerName][]position, len(table.Config.Servers)),
	}
	latencies := make(map[latencyKey]*Latency, len(t.latencies))
	for i := range table.Config.Services {
		resolved := table.Service(table.Config.Services[i].Name)
		view.services[resolved.Name] = t.trackService(view, resolved, latencies)
	}
	for name := range t.servers {
		if table.Server(name) == nil {
			delete(t.servers, name)
		}
	}
	t.latencies = latencies
	t.view.Update(func(*View) *View { return view })
}

func (t *Tracker) trackService(view *View, resolved *indexer.Service, latencies map[latencyKey]*Latency) *Service {
	service := &Service{
		Service: resolved,
		Tracked: make([]Shard, len(resolved.Shards)),
		byName:  make(map[broker.ShardName]int, len(resolved.Shards)),
		counts:  map[broker.Snapshot]int{},
	}
	quantiles := requiredQuantiles(view.Table.Config, resolved.Name)
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
				Server:        t.ensureServer(name),
				ServesNewWork: view.Table.ServesNewWork(server),
			})
			view.positions[name] = append(view.positions[name], position{service: service, shard: i})
		}
	}
	service.publishSnapshots()
	for i := range service.Tracked {
		service.updateShard(i)
	}
	return service
}

// requiredQuantiles returns the latency quantiles that the request kinds of a service use.
func requiredQuantiles(config *configurator.Config, service string) []float64 {
	quantiles := []float64{CanaryQuantile}
	for i := range config.RequestKinds {
		kind := &config.RequestKinds[i]
		if kind.Service == service && kind.HedgeQuantile > 0 && !slices.Contains(quantiles, kind.HedgeQuantile) {
			quantiles = append(quantiles, kind.HedgeQuantile)
		}
	}
	return quantiles
}

func (t *Tracker) ensureServer(name broker.ServerName) *Server {
	server := t.servers[name]
	if server == nil {
		server = newServer(name, &t.pausePeriod)
		server.pacer.divider = &t.divider
		t.servers[name] = server
	}
	return server
}

// Apply applies an announcement of an owner and reports whether the published state changed. Announcements older than
// the last one of the same owner are ignored.
func (t *Tracker) Apply(state broker.ServerState) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.arrivals++
	server := t.ensureServer(state.Server)
	if !server.apply(state, t.arrivals) {
		return false
	}
	t.updateShards(server)
	return true
}

// OwnerDown ignores the announcements of a node whose link went down until it announces again.
func (t *Tracker) OwnerDown(owner broker.NodeID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, server := range t.servers {
		if server.reject(owner, true) {
			t.updateShards(server)
		}
	}
}

// NotOwner falls back to the announcement of another owner, if there is one, after owner denied that it owns a server.
func (t *Tracker) NotOwner(name broker.ServerName, owner broker.NodeID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if server := t.servers[name]; server != nil && server.reject(owner, false) {
		t.updateShards(server)
	}
}

// updateShards updates the snapshots of all shards that a changed server belongs to.
func (t *Tracker) updateShards(server *Server) {
	for _, at := range t.view.Load().positions[server.Name] {
		at.service.updateShard(at.shard)
	}
}
