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

// Options are the settings of an Owner.
type Options struct {
	Node             broker.NodeID
	QueueLimit       int           // maximum number of queued requests for each server
	TickInterval     time.Duration // time between calls of Tick
	PollInterval     time.Duration // time between status probes of a reachable server
	DownPollInterval time.Duration // time between status probes of a server that is unknown or down
	ProbeTimeout     time.Duration // timeout of a status probe
	RepeatRatio      float64       // average number of silent attempts repeated for each dispatched request
}

// DefaultOptions returns the production settings. Polling each second meets the design's limit of 2 s for noticing
// that a server is draining.
func DefaultOptions(node broker.NodeID) Options {
	return Options{
		Node:             node,
		QueueLimit:       admitter.DefaultQueueLimit,
		TickInterval:     20 * time.Millisecond,
		PollInterval:     time.Second,
		DownPollInterval: 250 * time.Millisecond,
		ProbeTimeout:     500 * time.Millisecond,
		RepeatRatio:      0.1,
	}
}

// Connections keeps connections to backend servers open for later requests.
type Connections interface {
	// Retain opens and keeps up to minIdle idle connections to a server; zero closes the idle ones.
	Retain(server broker.ServerName, minIdle int)
}

// Events are the callbacks of an owner; they must not block and may call the owner.
type Events struct {
	// StateChanged announces a new state. Calls for one server may overlap; the state with the higher sequence is newer.
	StateChanged func(broker.ServerState)
	// CrashReported receives each crash report after it was applied to the local quarantine.
	CrashReported func(broker.CrashReport)
}

// serverSet is the immutable state that the request path reads.
type serverSet struct {
	table   *indexer.Table
	servers map[broker.ServerName]*server
}

// Owner admits and dispatches the sub-requests for the servers that this node owns.
type Owner struct {
	options     Options
	backend     broker.Backend
	connections Connections
	holdsLease  func(broker.ServerName) bool
	quarantine  *quarantiner.Quarantiner
	clock       broker.Clock
	events      Events
	counters    *counters

	serverSet *holder.Holder[serverSet]
	calls     callRegistry
	canaries  canaryQueue
	work      sync.WaitGroup
}

// New returns an Owner without configuration or servers. holdsLease returns whether this node holds the lease of a
// server now.
func New(
	options Options, backend broker.Backend, connections Connections, holdsLease func(broker.ServerName) bool,
	quarantine *quarantiner.Quarantiner, clock broker.Clock, events Events, set *metrics.Set,
) *Owner {
	return &Owner{
		options: options, backend: backend, connections: connections, holdsLease: holdsLease, quarantine: quarantine,
		clock: clock, events: events, counters: newCounters(set),
		serverSet: holder.New(&serverSet{servers: map[broker.ServerName]*server{}}),
		calls:     newCallRegistry(), canaries: newCanaryQueue(),
	}
}

// Run calls Tick every Options.TickInterval until ctx ends.
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

// Tick refuses queued requests that can no longer meet their deadline, ends pauses and starts due status probes.
func (o *Owner) Tick() {
	now := o.clock.Now()
	for _, s := range o.serverSet.Load().servers {
		s.tick(now)
	}
}

// Wait blocks until every dispatched request and probe has ended; no new ones may be submitted meanwhile.
func (o *Owner) Wait() { o.work.Wait() }

// SetTable applies a configuration, which the backend must already have. Servers that are draining or whose zone is
// out accept no new requests.
func (o *Owner) SetTable(table *indexer.Table) {
	o.serverSet.Update(func(current *serverSet) *serverSet { return &serverSet{table: table, servers: current.servers} })
	now := o.clock.Now()
	for _, s := range o.serverSet.Load().servers {
		s.configure(table, now)
	}
}

// Adopt makes this node the owner of a server. After a planned change, state is the one returned by Release on the
// previous owner; otherwise it is the last announced one, or nil if that is older than 10 s. Adopting an owned server
// has no effect.
func (o *Owner) Adopt(name broker.ServerName, state *broker.ServerState, planned bool) {
	now := o.clock.Now()
	var adopted *server
	o.serverSet.Update(func(current *serverSet) *serverSet {
		if current.servers[name] != nil {
			return nil
		}
		adopted = newServer(o, name, current.table, now)
		next := &serverSet{table: current.table, servers: make(map[broker.ServerName]*server, len(current.servers)+1)}
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
	if table := o.serverSet.Load().table; table != nil {
		adopted.configure(table, now)
	}
	adopted.announce()
	adopted.tick(now)
}

// Release ends the ownership of a server, refuses its queued requests as notRun, and returns the state for the next
// owner, or nil if the server is not owned. Dispatched requests continue and are counted in the state.
func (o *Owner) Release(name broker.ServerName) *broker.ServerState {
	var released *server
	o.serverSet.Update(func(current *serverSet) *serverSet {
		released = current.servers[name]
		if released == nil {
			return nil
		}
		next := &serverSet{table: current.table, servers: make(map[broker.ServerName]*server, len(current.servers))}
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
func (o *Owner) Owns(name broker.ServerName) bool { return o.serverSet.Load().servers[name] != nil }

// States returns the state of every owned server, sorted by name.
func (o *Owner) States() []broker.ServerState {
	servers := o.serverSet.Load().servers
	states := make([]broker.ServerState, 0, len(servers))
	for _, s := range servers {
		states = append(states, s.snapshot())
	}
	slices.SortFunc(states, func(a, b broker.ServerState) int {
		return strings.Compare(string(a.Server), string(b.Server))
	})
	return states
}

// settingsOf returns the admitter settings and the configuration of a server, and the reason for which the
// configuration excludes new requests.
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
