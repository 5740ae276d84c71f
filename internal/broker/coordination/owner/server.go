package owner

import (
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/admitter"
	"github.com/yuccarock/yuccarock/internal/broker/state/indexer"
	"github.com/yuccarock/yuccarock/pkg/configurator"
)

// maxRepeatTokens is how many silent attempts can be repeated in a row. Connections to a server often go silent
// together.
const maxRepeatTokens = 5

// server is one owned backend server.
type server struct {
	owner       *Owner
	name        broker.ServerName
	released    atomic.Bool
	mayDispatch func() bool // checks ownership and lease; allocated once, because every dispatch needs it

	mu           sync.Mutex
	admitter     *admitter.Admitter
	address      netip.AddrPort
	calls        map[admitter.Ticket]*call // queued or dispatched
	lastTicket   admitter.Ticket
	sequence     uint64
	snapshots    []broker.Snapshot // newest first
	partitioning uint64
	nextPoll     time.Time
	failedPolls  int
	polling      bool    // a status probe waits for a slot or is in progress
	repeatTokens float64 // one for each silent attempt that may be repeated
	crashCheck   *crashCheck
	unanswered   []unansweredRequest
}

func newServer(o *Owner, name broker.ServerName, table *indexer.Table, now time.Time) *server {
	settings, configured, _ := settingsOf(table, name, o.options.QueueLimit)
	s := &server{
		owner: o, name: name, admitter: admitter.New(settings),
		calls: make(map[admitter.Ticket]*call), nextPoll: now, repeatTokens: maxRepeatTokens,
	}
	s.mayDispatch = func() bool { return !s.released.Load() && o.holdsLease(name) }
	if configured != nil {
		s.address = configured.Address
	}
	return s
}

// effects are the side effects of admitter actions, which are applied without holding the lock.
type effects struct {
	started    []*call
	refused    []refusal
	checkCrash bool
	announce   bool
	state      broker.ServerState
	probe      admitter.Ticket // the probe that was started, or zero
	queued     int
}

type refusal struct {
	call   *call
	reason broker.Reason
}

// collectEffects adds the effects of actions; s.mu must be held.
func (s *server) collectEffects(e *effects, actions []admitter.Action) {
	for i := range actions {
		action := &actions[i]
		switch action.Kind {
		case admitter.ActionDispatch:
			c := s.calls[action.Ticket]
			if c == nil {
				e.probe = action.Ticket
				continue
			}
			c.dispatched = true
			c.bootID = s.admitter.BootID()
			e.started = append(e.started, c)
		case admitter.ActionRefuse:
			if c := s.calls[action.Ticket]; c != nil {
				delete(s.calls, action.Ticket)
				e.refused = append(e.refused, refusal{call: c, reason: action.Reason})
			}
		case admitter.ActionVerify:
			e.checkCrash = true
		case admitter.ActionAnnounce:
			e.announce = true
		}
	}
	if e.announce {
		s.sequence++
		e.state = s.state()
	}
	e.queued = s.admitter.Queued()
}

// applyEffects applies effects; s.mu must not be held. It doesn't run the call own, but returns whether the caller has
// to.
func (s *server) applyEffects(e *effects, own *call) (runOwn bool) {
	if e.announce && s.owner.events.StateChanged != nil {
		s.owner.events.StateChanged(e.state)
	}
	for _, c := range e.started {
		if c == own {
			runOwn = true
			continue
		}
		s.owner.work.Go(func() { s.run(c) })
	}
	for _, r := range e.refused {
		s.owner.answer(r.call, refuse(&r.call.sub, r.reason, e.queued))
	}
	if e.checkCrash {
		s.owner.work.Go(s.checkCrash)
	}
	if ticket := e.probe; ticket != 0 {
		s.owner.work.Go(func() { s.probe(ticket) })
	}
	return runOwn
}

// update calls the admitter under the lock and applies the effects of the returned actions.
func (s *server) update(event func(a *admitter.Admitter) []admitter.Action) {
	var e effects
	s.mu.Lock()
	s.collectEffects(&e, event(s.admitter))
	s.mu.Unlock()
	s.applyEffects(&e, nil)
}

func (s *server) configure(table *indexer.Table, now time.Time) {
	settings, configured, closedBy := settingsOf(table, s.name, s.owner.options.QueueLimit)
	var e effects
	s.mu.Lock()
	if configured != nil {
		s.address = configured.Address
	}
	s.collectEffects(&e, s.admitter.Configure(settings, closedBy, now))
	s.mu.Unlock()
	s.applyEffects(&e, nil)
	if s.owner.connections == nil || s.released.Load() {
		return
	}
	s.owner.connections.Retain(s.name, connectionsToKeepOpen(configured))
}

// expensiveConnectionCost is the connection cost from which one connection more than the slots is kept open, so that
// status probes and broken connections cause no dialing. It is about the service time of one search.
const expensiveConnectionCost = 4 * time.Millisecond

// connectionsToKeepOpen returns the number of connections to keep open to a server, at most its connection limit.
func connectionsToKeepOpen(configured *configurator.Server) int {
	if configured == nil {
		return 0
	}
	count := configured.Slots
	if time.Duration(configured.ConnectionCost) >= expensiveConnectionCost {
		count++
	}
	return min(count, configured.Connections)
}

func (s *server) adopt(state *broker.ServerState, planned bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state != nil {
		s.sequence = state.Sequence
		s.snapshots = slices.Clone(state.Snapshots)
		s.partitioning = state.Partitioning
	}
	// The only action is an announcement, which Owner.Adopt makes after applying the configuration.
	s.admitter.Adopt(state, planned, now)
}

func (s *server) announce() {
	s.mu.Lock()
	s.sequence++
	state := s.state()
	s.mu.Unlock()
	if s.owner.events.StateChanged != nil {
		s.owner.events.StateChanged(state)
	}
}

func (s *server) release(now time.Time) *broker.ServerState {
	var e effects
	s.mu.Lock()
	s.released.Store(true)
	s.collectEffects(&e, s.admitter.RefuseAll(broker.ReasonNotOwner, now))
	s.sequence++
	state := s.state()
	s.mu.Unlock()
	s.applyEffects(&e, nil)
	if s.owner.connections != nil {
		s.owner.connections.Retain(s.name, 0)
	}
	return &state
}

func (s *server) snapshot() broker.ServerState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state()
}

// state returns the state to announce; s.mu must be held.
func (s *server) state() broker.ServerState {
	return broker.ServerState{
		Server: s.name, Phase: s.admitter.Phase(), Limit: s.admitter.AnnouncedLimit(),
		Snapshots: s.snapshots, Partitioning: s.partitioning, BootID: s.admitter.BootID(),
		Owner: s.owner.options.Node, Sequence: s.sequence, InFlight: s.admitter.InFlight(),
	}
}

func (s *server) tick(now time.Time) {
	leased := !s.released.Load() && s.owner.holdsLease(s.name)
	var e effects
	s.mu.Lock()
	s.collectEffects(&e, s.admitter.Tick(now))
	if leased && !s.polling && !now.Before(s.nextPoll) {
		s.polling = true
		s.nextPoll = now.Add(s.pollInterval())
		s.lastTicket++
		request := admitter.Request{Ticket: s.lastTicket, Deadline: now.Add(s.owner.options.ProbeTimeout), Probe: true}
		s.collectEffects(&e, s.admitter.Submit(request, now))
	}
	s.mu.Unlock()
	s.applyEffects(&e, nil)
}

func (s *server) pollInterval() time.Duration {
	switch s.admitter.Phase() {
	case broker.PhaseUnknown, broker.PhaseDown:
		return s.owner.options.DownPollInterval
	default:
		return s.owner.options.PollInterval
	}
}
