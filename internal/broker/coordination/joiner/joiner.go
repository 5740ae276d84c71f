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

// eventQueueSize is the number of events that may wait for the event loop; further messages are dropped and counted.
const eventQueueSize = 1024

// counters are the metrics of one joiner.
type counters struct {
	dropped       *metrics.Counter // messages dropped because the event queue was full
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

// Kind is the category of an Error.
type Kind string

// Kinds of errors.
const (
	KindStore   Kind = "store"
	KindDecode  Kind = "decode"
	KindStopped Kind = "stopped"
)

// Error is a failed store operation or a leave that was not completed.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("could not %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Handler receives the decisions of the joiner. Its methods run on the event loop and must not block.
type Handler interface {
	// OwnershipChanged reports the servers to which this process may now dispatch, and those to which it no longer may.
	OwnershipChanged(gained, lost []broker.ServerName, planned bool)
	// ClaimsGained reports shards whose claim point this process has become. If the change was not planned, the
	// claims of the previous claim point are lost.
	ClaimsGained(gained []ShardID, planned bool)
	// BuildRelease returns the state that the next owner of servers and claim points needs. This process may no
	// longer dispatch to them when it is called.
	BuildRelease(servers []broker.ServerName, claims []ShardID) broker.Release
	// AcceptRelease receives the state that the previous owner has released, before this process becomes the owner.
	AcceptRelease(from broker.NodeID, release broker.Release)
	// FinishWork prepares for a new incarnation, whose links replace the current ones, and returns whether that is
	// complete. It is called again until it returns true.
	FinishWork(now time.Time) bool
	// NewIncarnation returns a new identity with the same addresses; peers must see only this one from then on.
	NewIncarnation(previous broker.Member) broker.Member
	// TableChanged reports a configuration that has been put in force.
	TableChanged(table *indexer.Table)
}

// ShardID identifies a shard and its claim point.
type ShardID struct {
	Service string
	Shard   broker.ShardName
}

// Settings are the names, intervals and timeouts of a joiner.
type Settings struct {
	Cell string
	// Region restricts the cell to servers of that region; empty means all.
	Region string
	// Cells lists all cells of the region, including this one; each server and claim point belongs to one of them.
	Cells  []string
	Leaser leaser.Settings
	// StoreTimeout limits each store call except Watch.
	StoreTimeout time.Duration
	// WatchTimeout limits one Watch call, which is then repeated.
	WatchTimeout time.Duration
	// PollInterval is how often the first watcher also reads the configuration, because watches can lag.
	PollInterval time.Duration
	// HostPollInterval is how often the host list is read while it may be needed to replace a lost majority.
	HostPollInterval time.Duration
	// RetryMin and RetryMax limit the delay before a failed store call is repeated.
	RetryMin time.Duration
	RetryMax time.Duration
	// FetchRetryInterval is the minimum interval between requests for a configuration that peers announce.
	FetchRetryInterval time.Duration
	// IsolatedJoinDelay is how long a process that does not hear a majority waits before it joins; it doubles up to
	// IsolatedJoinDelayMax. A node that reaches only the store would take over servers that it cannot serve, but
	// after a restart of the whole cell one node has to join first.
	IsolatedJoinDelay    time.Duration
	IsolatedJoinDelayMax time.Duration
}

// DefaultSettings returns the settings for the only cell of a region.
func DefaultSettings(cell string) Settings {
	return Settings{
		Cell:                 cell,
		Cells:                []string{cell},
		Leaser:               leaser.DefaultSettings(),
		StoreTimeout:         time.Second,
		WatchTimeout:         30 * time.Second,
		PollInterval:         2 * time.Second,
		HostPollInterval:     3 * time.Second,
		RetryMin:             50 * time.Millisecond,
		RetryMax:             2 * time.Second,
		FetchRetryInterval:   500 * time.Millisecond,
		IsolatedJoinDelay:    10 * time.Second,
		IsolatedJoinDelayMax: time.Minute,
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
	ctx               context.Context
	self              broker.Member
	membership        broker.Membership
	generationSince   time.Time // when the generation in force was adopted
	leaving           bool
	zoneOut           bool
	leaveDone         chan struct{}
	leaveFinished     bool
	rejoinAt          time.Time
	isolatedJoinAt    time.Time // when this process may join without hearing a majority
	isolatedJoinDelay time.Duration
	selfRemovalAt     time.Time // when a leaving process removes itself, after its releases have taken effect
	handovers         []handover
	nextFetch         time.Time
	memberWrite       task
	configWatch       task
	memberWatch       task
	configPoll        task
	hostPoll          task
}

// New returns a joiner for the process that self describes; seed determines its random delays.
func New(
	settings Settings, self broker.Member, clock broker.Clock, store broker.Store, peers broker.Peers,
	adopter *adopter.Adopter, handler Handler, set *metrics.Set, log *slog.Logger, seed uint64,
) *Joiner {
	j := &Joiner{
		settings:          settings,
		counters:          newCounters(set),
		clock:             clock,
		store:             store,
		peers:             peers,
		adopter:           adopter,
		handler:           handler,
		log:               log,
		random:            rand.New(rand.NewPCG(seed, 0)),
		events:            make(chan func(), eventQueueSize),
		stopped:           make(chan struct{}),
		self:              self,
		isolatedJoinDelay: settings.IsolatedJoinDelay,
		leaveDone:         make(chan struct{}),
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

// Leave hands over all servers and claim points and removes this process from the member list. An error means that
// ctx or the event loop ended before the store confirmed the removal.
func (j *Joiner) Leave(ctx context.Context) error {
	j.post(func() {
		if !j.leaving {
			now := j.clock.Now()
			j.leaving = true
			j.selfRemovalAt = now.Add(j.settings.Leaser.RewriteInterval)
			j.step(now, leaser.Leave{})
		}
	})
	select {
	case <-j.leaveDone:
		return nil
	case <-j.stopped:
		return &Error{Op: "leave the cell", Kind: KindStopped, Err: errors.New("event loop has ended")}
	case <-ctx.Done():
		return &Error{Op: "leave the cell", Kind: KindStopped, Err: ctx.Err()}
	}
}

// finishLeave lets Leave return once the member list lacks this process and no handover is pending.
func (j *Joiner) finishLeave() {
	if j.leaving && !j.leaveFinished && len(j.handovers) == 0 && !j.isMember() {
		j.leaveFinished = true
		close(j.leaveDone)
	}
}

// MayDispatch returns whether this process may dispatch to a server now; safe for concurrent use.
func (j *Joiner) MayDispatch(server broker.ServerName) bool {
	return j.core.Load().MayDispatch(server, j.clock.Now())
}

// OwnerOf returns the owner of a server as known to this process, or an empty ID; safe for concurrent use.
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

// Offer puts a configuration that the store has just accepted in force; heartbeats then announce it to the peers.
func (j *Joiner) Offer(object broker.ConfigObject) { j.post(func() { j.offerConfig(object) }) }

// post queues a function for the event loop and blocks while the queue is full.
func (j *Joiner) post(event func()) {
	select {
	case j.events <- event:
	case <-j.stopped:
	}
}
