package owner

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/admitter"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/quarantiner"
	"github.com/yuccarock/yuccarock/internal/broker/state/holder"
	"github.com/yuccarock/yuccarock/internal/broker/state/indexer"
	"github.com/yuccarock/yuccarock/pkg/configurator"
)

// Options are the settings of the owner role.
type Options struct {
	Node           broker.NodeID
	QueueLimit     int           // most requests waiting for one server
	TickInterval   time.Duration // how often queues and polls are looked after
	PollInterval   time.Duration // time between status probes of a server that is in use
	SearchInterval time.Duration // time between status probes of a server that is unknown or down
	ProbeTimeout   time.Duration // longest time of a status probe
	RepeatShare    float64       // silent attempts repeated per dispatched request, averaged
}

// DefaultOptions returns the settings for production. With a poll each second, a server's own draining signal is
// known within the 2 s that the design allows.
func DefaultOptions(node broker.NodeID) Options {
	return Options{
		Node:           node,
		QueueLimit:     admitter.DefaultQueueLimit,
		TickInterval:   20 * time.Millisecond,
		PollInterval:   time.Second,
		SearchInterval: 250 * time.Millisecond,
		ProbeTimeout:   500 * time.Millisecond,
		RepeatShare:    0.1,
	}
}

// Connections holds connections open ahead of need; zero closes the idle ones.
type Connections interface {
	Retain(server broker.ServerName, ready int)
}

// Events are the callbacks of an owner; they must not block and may call the owner.
type Events struct {
	// Changed announces a new state; calls for one server can overlap, the higher sequence is newer.
	Changed func(broker.ServerState)
	// Crashed passes on a crash report that was already applied to the local quarantine.
	Crashed func(broker.CrashReport)
}

// view is what the request path reads; it never changes.
type view struct {
	table   *indexer.Table
	servers map[broker.ServerName]*server
}

// Owner admits and dispatches the work for the servers of this node.
type Owner struct {
	options     Options
	backend     broker.Backend
	connections Connections
	lease       func(broker.ServerName) bool
	quarantine  *quarantiner.Quarantiner
	clock       broker.Clock
	events      Events
	counters    *counters

	views *holder.Holder[view]
	calls callRegistry
	work  sync.WaitGroup
}

// New returns an owner without table and servers; lease tells whether this node may dispatch to a server now.
func New(
	options Options, backend broker.Backend, connections Connections, lease func(broker.ServerName) bool,
	quarantine *quarantiner.Quarantiner, clock broker.Clock, events Events, set *metrics.Set,
) *Owner {
	return &Owner{
		options: options, backend: backend, connections: connections, lease: lease, quarantine: quarantine,
		clock: clock, events: events, counters: newCounters(set),
		views: holder.New(&view{servers: map[broker.ServerName]*server{}}),
		calls: newCallRegistry(),
	}
}

// Run looks after queues and polls until ctx ends.
func (o *Owner) Run(ctx context.Context) {
	ticker := time.NewTicker(o.options.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			o.Tick()
		}
	}
}

// Tick refuses what waited too long, ends pauses and starts the status probes that are due.
func (o *Owner) Tick() {
	now := o.clock.Now()
	for _, s := range o.views.Load().servers {
		s.tick(now)
	}
}

// Wait returns once every dispatched request and probe has ended; the caller sends no new ones meanwhile.
func (o *Owner) Wait() { o.work.Wait() }

// SetTable takes a configuration, after the backend took it; servers that it drains or whose zone is out get no new
// work from now on.
func (o *Owner) SetTable(table *indexer.Table) {
	o.views.Update(func(current *view) *view { return &view{table: table, servers: current.servers} })
	now := o.clock.Now()
	for _, s := range o.views.Load().servers {
		s.configure(table, now)
	}
}

// Adopt makes this node the owner of a server. After a planned change, state is what the previous owner released;
// otherwise it is the last announcement, or nil where that is older than 10 s. It has no effect on an owned server.
func (o *Owner) Adopt(name broker.ServerName, state *broker.ServerState, planned bool) {
	now := o.clock.Now()
	var adopted *server
	o.views.Update(func(current *view) *view {
		if current.servers[name] != nil {
			return nil
		}
		adopted = newServer(o, name, current.table, now)
		next := &view{table: current.table, servers: make(map[broker.ServerName]*server, len(current.servers)+1)}
		for other, s := range current.servers {
			next.servers[other] = s
		}
		next.servers[name] = adopted
		adopted.adopt(state, planned, now)
		return next
	})
	if adopted == nil {
		return
	}
	if table := o.views.Load().table; table != nil {
		adopted.configure(table, now)
	}
	adopted.announce()
	adopted.tick(now)
}

// Release ends the ownership of a server, refuses its queue as notRun, and returns the state to hand over, or nil
// for a server that is not owned. Requests already dispatched go on and are counted in the state.
func (o *Owner) Release(name broker.ServerName) *broker.ServerState {
	var released *server
	o.views.Update(func(current *view) *view {
		released = current.servers[name]
		if released == nil {
			return nil
		}
		next := &view{table: current.table, servers: make(map[broker.ServerName]*server, len(current.servers))}
		for other, s := range current.servers {
			if other != name {
				next.servers[other] = s
			}
		}
		return next
	})
	if released == nil {
		return nil
	}
	return released.release(o.clock.Now())
}

// Owns returns whether this node owns the server.
func (o *Owner) Owns(name broker.ServerName) bool { return o.views.Load().servers[name] != nil }

// States returns the state of every owned server, sorted by name.
func (o *Owner) States() []broker.ServerState {
	servers := o.views.Load().servers
	states := make([]broker.ServerState, 0, len(servers))
	for _, s := range servers {
		states = append(states, s.snapshot())
	}
	slices.SortFunc(states, func(a, b broker.ServerState) int {
		return strings.Compare(string(a.Server), string(b.Server))
	})
	return states
}

// settingsOf returns the limits of a server and the configuration's reason for no new work.
func settingsOf(
	table *indexer.Table, name broker.ServerName, queueLimit int,
) (admitter.Settings, *configurator.Server, broker.Reason) {
	settings := admitter.Settings{QueueLimit: queueLimit}
	if table == nil {
		return settings, nil, broker.ReasonDraining
	}
	settings.AttemptTimeout = table.AttemptTimeout(name)
	configured := table.Server(name)
	if configured == nil {
		return settings, nil, broker.ReasonDraining
	}
	settings.Slots = configured.Slots
	settings.ColdConcurrency = configured.Cold.Concurrency
	settings.ColdSuccesses = configured.Cold.Successes
	settings.ColdStep = configured.Cold.Step
	switch {
	case table.ZoneOut(configured.Zone):
		return settings, configured, broker.ReasonZoneOut
	case configured.Draining:
		return settings, configured, broker.ReasonDraining
	default:
		return settings, configured, broker.ReasonNone
	}
}
