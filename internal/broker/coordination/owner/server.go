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

// repeatBurst is how many silent attempts can be repeated in a row: connections to a server go silent together.
const repeatBurst = 5

// server is one owned backend server.
type server struct {
	owner    *Owner
	name     broker.ServerName
	released atomic.Bool
	permit   func() bool // checks ownership and lease; made once, because every dispatch needs it

	mu            sync.Mutex
	admitter      *admitter.Admitter
	address       netip.AddrPort
	calls         map[admitter.Ticket]*call // queued or dispatched
	lastTicket    admitter.Ticket
	sequence      uint64
	snapshots     []broker.Snapshot // newest first
	partitioning  uint64
	nextPoll      time.Time
	failedPolls   int
	polling       bool    // a probe waits for a slot or is in progress
	repeats       float64 // tokens for repeating silent attempts
	investigation *investigation
	unresolved    []unresolved
}

func newServer(o *Owner, name broker.ServerName, table *indexer.Table, now time.Time) *server {
	settings, configured, _ := settingsOf(table, name, o.options.QueueLimit)
	s := &server{
		owner: o, name: name, admitter: admitter.New(settings),
		calls: make(map[admitter.Ticket]*call), nextPoll: now, repeats: repeatBurst,
	}
	s.permit = func() bool { return !s.released.Load() && o.lease(name) }
	if configured != nil {
		s.address = configured.Address
	}
	return s
}

// effects are what has to be done, outside the lock, for the actions of the admitter.
type effects struct {
	started  []*call
	refused  []refusal
	verify   bool
	announce bool
	state    broker.ServerState
	probe    admitter.Ticket // the probe that was started, or zero
	queued   int
}

type refusal struct {
	call   *call
	reason broker.Reason
}

// collect turns actions into effects; the lock is held.
func (s *server) collect(e *effects, actions []admitter.Action) {
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
			e.verify = true
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

// apply carries out effects; the lock is not held. The call that own names is left to the caller to run.
func (s *server) apply(e *effects, own *call) (runOwn bool) {
	if e.announce && s.owner.events.Changed != nil {
		s.owner.events.Changed(e.state)
	}
	for _, c := range e.started {
		if c == own {
			runOwn = true
			continue
		}
		s.owner.work.Add(1)
		go func() {
			defer s.owner.work.Done()
			s.run(c)
		}()
	}
	for _, r := range e.refused {
		s.answer(r.call, refuse(&r.call.sub, r.reason, e.queued))
	}
	if e.verify {
		s.owner.work.Add(1)
		go func() {
			defer s.owner.work.Done()
			s.verify()
		}()
	}
	if ticket := e.probe; ticket != 0 {
		s.owner.work.Add(1)
		go func() {
			defer s.owner.work.Done()
			s.probe(ticket)
		}()
	}
	return runOwn
}

// do runs one event of the admitter and carries out its actions.
func (s *server) do(event func(a *admitter.Admitter) []admitter.Action) {
	var e effects
	s.mu.Lock()
	s.collect(&e, event(s.admitter))
	s.mu.Unlock()
	s.apply(&e, nil)
}

func (s *server) configure(table *indexer.Table, now time.Time) {
	settings, configured, closedBy := settingsOf(table, s.name, s.owner.options.QueueLimit)
	var e effects
	s.mu.Lock()
	if configured != nil {
		s.address = configured.Address
	}
	s.collect(&e, s.admitter.Configure(settings, closedBy, now))
	s.mu.Unlock()
	s.apply(&e, nil)
	if s.owner.connections == nil || s.released.Load() {
		return
	}
	s.owner.connections.Retain(s.name, readyConnections(configured))
}

// dearConnection is the cost of a new connection from which one more than the slots is held open, so that probes and a
// broken connection cost no dialing. It is about one service time of the users' searches.
const dearConnection = 4 * time.Millisecond

// readyConnections returns how many connections to a server are held open ahead of need.
func readyConnections(configured *configurator.Server) int {
	if configured == nil {
		return 0
	}
	ready := configured.Slots
	if time.Duration(configured.ConnectionCost) >= dearConnection {
		ready++
	}
	return min(ready, configured.Connections)
}

func (s *server) adopt(state *broker.ServerState, planned bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state != nil {
		s.sequence = state.Sequence
		s.snapshots = slices.Clone(state.Snapshots)
		s.partitioning = state.Partitioning
	}
	// The actions hold only an announcement, which Adopt makes once the table was applied.
	s.admitter.Adopt(state, planned, now)
}

func (s *server) announce() {
	s.mu.Lock()
	s.sequence++
	state := s.state()
	s.mu.Unlock()
	if s.owner.events.Changed != nil {
		s.owner.events.Changed(state)
	}
}

func (s *server) release(now time.Time) *broker.ServerState {
	var e effects
	s.mu.Lock()
	s.released.Store(true)
	s.collect(&e, s.admitter.RefuseAll(broker.ReasonNotOwner, now))
	s.sequence++
	state := s.state()
	s.mu.Unlock()
	s.apply(&e, nil)
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

// state returns the announced state; the lock is held.
func (s *server) state() broker.ServerState {
	return broker.ServerState{
		Server: s.name, Phase: s.admitter.Phase(), Limit: s.admitter.AnnouncedLimit(),
		Snapshots: s.snapshots, Partitioning: s.partitioning, BootID: s.admitter.BootID(),
		Owner: s.owner.options.Node, Sequence: s.sequence, InFlight: s.admitter.InFlight(),
	}
}

func (s *server) tick(now time.Time) {
	leased := !s.released.Load() && s.owner.lease(s.name)
	var e effects
	s.mu.Lock()
	s.collect(&e, s.admitter.Tick(now))
	if leased && !s.polling && !now.Before(s.nextPoll) {
		s.polling = true
		s.nextPoll = now.Add(s.pollInterval())
		s.lastTicket++
		request := admitter.Request{Ticket: s.lastTicket, Deadline: now.Add(s.owner.options.ProbeTimeout), Probe: true}
		s.collect(&e, s.admitter.Submit(request, now))
	}
	s.mu.Unlock()
	s.apply(&e, nil)
}

func (s *server) pollInterval() time.Duration {
	switch s.admitter.Phase() {
	case broker.PhaseUnknown, broker.PhaseDown:
		return s.owner.options.SearchInterval
	default:
		return s.owner.options.PollInterval
	}
}
