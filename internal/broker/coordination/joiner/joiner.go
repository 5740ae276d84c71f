package joiner

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/adopter"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/leaser"
	"github.com/yuccarock/yuccarock/internal/broker/state/indexer"
)

// ConfigKey is the store key of the configuration.
const ConfigKey = "config"

// MembersKey returns the store key of a cell's member list.
func MembersKey(cell string) string { return "members/" + cell }

// eventQueue bounds the messages that wait for the event loop; further ones are dropped and counted.
const eventQueue = 1024

// counters are the metrics of one joiner.
type counters struct {
	dropped       *metrics.Counter // messages that the event loop had no room for
	adopted       *metrics.Counter
	refused       *metrics.Counter // invalid configurations
	storeFailures *metrics.Counter
}

func newCounters(set *metrics.Set) counters {
	return counters{
		dropped:       set.GetOrCreateCounter("yuccarock_joiner_dropped_messages_total"),
		adopted:       set.GetOrCreateCounter("yuccarock_joiner_adopted_configurations_total"),
		refused:       set.GetOrCreateCounter("yuccarock_joiner_refused_configurations_total"),
		storeFailures: set.GetOrCreateCounter("yuccarock_joiner_store_failures_total"),
	}
}

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	KindStore   Kind = "store"
	KindDecode  Kind = "decode"
	KindStopped Kind = "stopped"
)

// Error is an error of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("could not %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Handler receives what the joiner decides; its methods run on the event loop and must return at once.
type Handler interface {
	// OwnershipChanged reports servers to which this process may dispatch from now on, or no longer.
	OwnershipChanged(gained, lost []broker.ServerName, planned bool)
	// ClaimsGained reports shards whose claim point this process is from now on; after a change that was not
	// planned, the claims of the previous claim point are lost.
	ClaimsGained(gained []ShardID, planned bool)
	// BuildRelease returns the state that the next owner of servers and claim points needs; this process may
	// no longer dispatch to them.
	BuildRelease(servers []broker.ServerName, claims []ShardID) broker.Release
	// AcceptRelease takes over the state that the previous owner has released, before ownership begins.
	AcceptRelease(from broker.NodeID, release broker.Release)
	// FinishWork prepares for a new incarnation, whose links replace the present ones; it is called again until it returns
	// true.
	FinishWork(now time.Time) bool
	// NewIncarnation returns a fresh identity with the same addresses, after which peers must see only that one.
	NewIncarnation(previous broker.Member) broker.Member
	// TableChanged reports a configuration that has been put in force.
	TableChanged(table *indexer.Table)
}

// ShardID names the claim point of a shard.
type ShardID struct {
	Service string
	Shard   broker.ShardName
}

// Settings are the times and names of a joiner.
type Settings struct {
	Cell string
	// Region restricts the cell to servers of that region; empty means all.
	Region string
	// Cells names all cells of the region, this one included; each server and claim point belongs to one.
	Cells  []string
	Leaser leaser.Settings
	// StoreTimeout bounds each call to the store but Watch.
	StoreTimeout time.Duration
	// WatchTimeout ends a waiting watch, which is then repeated.
	WatchTimeout time.Duration
	// Poll is the interval at which the first watcher also reads the configuration, since watches can lag.
	Poll time.Duration
	// HostPoll is the interval of host list readings while a majority of members is missing.
	HostPoll time.Duration
	// RetryMin and RetryMax bound the delay before a failed store call is repeated.
	RetryMin time.Duration
	RetryMax time.Duration
	// FetchRetry is the interval at which a configuration is asked for again.
	FetchRetry time.Duration
	// JoinAlone is how long a process that does not hear a majority waits before it joins, and JoinAloneMax the
	// limit to which this doubles. A node that only the store can reach would take servers that it cannot
	// serve; but after a restart of the whole cell somebody has to be the first.
	JoinAlone    time.Duration
	JoinAloneMax time.Duration
}

// DefaultSettings returns the settings for a cell.
func DefaultSettings(cell string) Settings {
	return Settings{
		Cell:         cell,
		Cells:        []string{cell},
		Leaser:       leaser.DefaultSettings(),
		StoreTimeout: time.Second,
		WatchTimeout: 30 * time.Second,
		Poll:         2 * time.Second,
		HostPoll:     3 * time.Second,
		RetryMin:     50 * time.Millisecond,
		RetryMax:     2 * time.Second,
		FetchRetry:   500 * time.Millisecond,
		JoinAlone:    10 * time.Second,
		JoinAloneMax: time.Minute,
	}
}

// Joiner runs the membership of one process.
type Joiner struct {
	settings Settings
	clock    broker.Clock
	store    broker.Store
	peers    broker.Peers
	adopter  *adopter.Adopter
	handler  Handler
	log      *slog.Logger
	random   *rand.Rand
	counters counters

	events  chan func()
	stopped chan struct{}
	core    atomic.Pointer[leaser.Core]

	// Fields below belong to the event loop.
	ctx          context.Context
	self         broker.Member
	membership   broker.Membership
	generationAt time.Time // when the generation in force was adopted
	leaving      bool
	zoneOut      bool
	left         chan struct{}
	leftOnce     bool
	rejoinAt     time.Time
	joinAt       time.Time // when this process joins without hearing a majority
	joinAlone    time.Duration
	removeAt     time.Time // when a leaving process removes itself; a release takes effect before that
	handovers    []handover
	fetchAt      time.Time
	write        task
	config       task
	members      task
	poll         task
	hosts        task
}

// New returns a joiner for the process that self describes; seed makes its delays reproducible.
func New(
	settings Settings, self broker.Member, clock broker.Clock, store broker.Store, peers broker.Peers,
	adopter *adopter.Adopter, handler Handler, set *metrics.Set, log *slog.Logger, seed uint64,
) *Joiner {
	j := &Joiner{
		settings:  settings,
		counters:  newCounters(set),
		clock:     clock,
		store:     store,
		peers:     peers,
		adopter:   adopter,
		handler:   handler,
		log:       log,
		random:    rand.New(rand.NewPCG(seed, 0)),
		events:    make(chan func(), eventQueue),
		stopped:   make(chan struct{}),
		self:      self,
		joinAlone: settings.JoinAlone,
		left:      make(chan struct{}),
	}
	j.core.Store(leaser.New(settings.Leaser, self, clock.Now()))
	return j
}

// Run runs the event loop until ctx ends.
func (j *Joiner) Run(ctx context.Context) error {
	defer close(j.stopped)
	j.ctx = ctx
	if j.adopter.Table() != nil {
		j.tableChanged()
	}
	ticker := time.NewTicker(j.settings.Leaser.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case event := <-j.events:
			event()
		case <-ticker.C:
			j.tick()
		}
	}
}

// tick advances the core and starts the store calls that are due.
func (j *Joiner) tick() {
	now := j.clock.Now()
	j.step(now, leaser.Tick{})
	j.retryHandovers(now)
	j.scheduleStore(now)
	j.finishLeave()
}

// Leave hands over all ownership, removes this process from the member list and returns when that is done; an
// error means that ctx ended before the store confirmed the removal.
func (j *Joiner) Leave(ctx context.Context) error {
	j.post(func() {
		if !j.leaving {
			now := j.clock.Now()
			j.leaving = true
			j.removeAt = now.Add(j.settings.Leaser.RewriteInterval)
			j.step(now, leaser.Leave{})
		}
	})
	select {
	case <-j.left:
		return nil
	case <-j.stopped:
		return &Error{Op: "leave the cell", Kind: KindStopped, Err: errors.New("event loop has ended")}
	case <-ctx.Done():
		return &Error{Op: "leave the cell", Kind: KindStopped, Err: ctx.Err()}
	}
}

// finishLeave ends Leave once no member list names this process and all handovers are sent.
func (j *Joiner) finishLeave() {
	if j.leaving && !j.leftOnce && len(j.handovers) == 0 && !j.isMember() {
		j.leftOnce = true
		close(j.left)
	}
}

// MayDispatch returns whether this process may dispatch to a server now; safe for concurrent use.
func (j *Joiner) MayDispatch(server broker.ServerName) bool {
	return j.core.Load().MayDispatch(server, j.clock.Now())
}

// OwnerOf returns the owner of a server by this process's knowledge, or an empty ID; safe for concurrent use.
func (j *Joiner) OwnerOf(server broker.ServerName) broker.NodeID {
	return j.core.Load().Owner(leaser.Key{Server: server})
}

// ClaimPoint returns the member that holds the claims of a shard, the start of this process's tenure and
// whether it may claim now; safe for concurrent use. Shards of services that have only idempotent request
// kinds have no claim point.
func (j *Joiner) ClaimPoint(service string, shard broker.ShardName) (broker.NodeID, time.Time, bool) {
	return j.core.Load().Tenure(leaser.Key{Service: service, Shard: shard}, j.clock.Now())
}

// Members returns the member list in force, which callers must not change; safe for concurrent use.
func (j *Joiner) Members() []broker.Member {
	members, _ := j.core.Load().Members()
	return members
}

// Generation returns the generation in force; safe for concurrent use.
func (j *Joiner) Generation() broker.Generation {
	_, generation := j.core.Load().Members()
	return generation
}

// Revision returns the configuration revision in force; safe for concurrent use.
func (j *Joiner) Revision() broker.Revision { return j.adopter.Revision() }

// Offer puts a configuration that the store has just accepted in force here, from where heartbeats spread it.
func (j *Joiner) Offer(object broker.ConfigObject) { j.post(func() { j.offer(object) }) }

// post hands a function to the event loop and waits while its queue is full.
func (j *Joiner) post(event func()) {
	select {
	case j.events <- event:
	case <-j.stopped:
	}
}
