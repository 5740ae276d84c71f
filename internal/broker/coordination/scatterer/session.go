package scatterer

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/budgeter"
	"github.com/yuccarock/yuccarock/internal/broker/state/indexer"
	"github.com/yuccarock/yuccarock/internal/broker/state/tracker"
	"github.com/yuccarock/yuccarock/pkg/configurator"
)

const (
	// defaultDelayShare of the deadline stands in for a latency quantile that is not known yet.
	defaultDelayShare = 4
	// recheckShare of the deadline passes between looks for a replica that takes work.
	recheckShare = 20
	// hedgeRecheckShare of the hedge delay passes between looks at an empty budget.
	hedgeRecheckShare = 4
	// rerunShare of the deadline has to remain for a run on another snapshot.
	rerunShare = 10
)

// Dependencies are what a session reads and draws on.
type Dependencies struct {
	View    *tracker.View
	Budgets *budgeter.Kind
	Random  *rand.Rand
	// Strategy is for hosts that send to backend servers themselves.
	Strategy Strategy
}

// Request is one query with what the entry knows of it.
type Request struct {
	Query       broker.Query
	Fingerprint broker.Fingerprint
	Seen        bool // the fingerprint has been answered before
	Suspect     bool // a server died while running the fingerprint, and it has not been cleared
	TraceParent string
	Deadline    time.Time
}

// Session is one query in progress; it is not safe for concurrent use.
type Session struct {
	view    *tracker.View
	service *tracker.Service
	kind    *configurator.RequestKind
	budgets *budgeter.Kind
	random  *rand.Rand
	request Request

	strategy Strategy
	late     bool                 // the latency target has passed
	opaque   *broker.OpaqueAnswer // of the answer that is being taken
	parts    []*broker.OpaqueAnswer

	started  time.Time
	deadline time.Duration // since started, as all durations below
	armed    time.Duration // next call of Wake that was asked for
	now      time.Duration
	timers   timers

	snapshot broker.Snapshot
	run      uint8
	base     int // position in the service of the first shard
	shards   []shard
	open     int // shards held or open
	answered int
	notRun   int  // attempts that certainly did not run
	lost     int  // missing shards that refused with snapshotMissing
	canary   int  // position of the canary shard that the others wait for, or -1
	passed   bool // a shard has answered, so that no canary is needed
	suspect  bool // a server died while running the request
	crashes  int
	clearing int // position of the shard with the one attempt that a suspect is allowed, or -1
	merged   merger

	subs     []broker.SubRequest
	actions  Actions
	finished bool
	stats    Stats
}

// New plans a query that starts at now; it fails with an *Error where the query names no known kind or shard.
func New(deps Dependencies, request Request, now time.Time) (*Session, error) {
	kind := deps.View.Table.Kind(request.Query.Kind)
	if kind == nil {
		return nil, planError(KindUnknownRequest, request.Query.Kind)
	}
	service := deps.View.Service(kind.Service)
	if service == nil {
		return nil, planError(KindUnknownService, kind.Service)
	}
	if len(service.Tracked) == 0 {
		return nil, planError(KindNoShards, kind.Service)
	}
	s := &Session{
		view:     deps.View,
		service:  service,
		kind:     kind,
		budgets:  deps.Budgets,
		random:   deps.Random,
		strategy: deps.Strategy,
		request:  request,
		started:  now,
		deadline: request.Deadline.Sub(now),
		canary:   -1,
		clearing: -1,
		merged:   merger{limit: request.Query.Limit},
	}
	if request.Suspect {
		s.suspect, s.crashes = true, 1
	}
	s.plan()
	return s, nil
}

func planError(kind ErrorKind, name string) error {
	return &Error{Op: "plan query", Kind: kind, Err: errors.Errorf("name %q", name)}
}

// Route returns the one shard that a request goes to, or nil for a request to all shards.
func Route(service *indexer.Service, kind *configurator.RequestKind, query *broker.Query) *indexer.Shard {
	switch {
	case service.Routing == configurator.RoutingKey, !kind.Idempotent && query.Key != "":
		return service.ShardOfKey(query.Key)
	case service.Routing == configurator.RoutingAny, !kind.Idempotent:
		// A request that is sent again must reach the claim point of its first time.
		return service.ShardOfKey(query.RequestID)
	default:
		return nil
	}
}

// plan sets the shards of the query.
func (s *Session) plan() {
	tracked := s.service.Tracked
	if target := Route(s.service.Service, s.kind, &s.request.Query); target != nil {
		s.base, _ = s.service.ShardIndex(target.Name)
		tracked = tracked[s.base : s.base+1]
	}
	s.shards = make([]shard, len(tracked))
	for i := range tracked {
		s.shards[i].tracked = &tracked[i]
	}
	s.open = len(s.shards)
}

// Snapshot returns the pinned snapshot.
func (s *Session) Snapshot() broker.Snapshot { return s.snapshot }

// Stats returns the counts so far.
func (s *Session) Stats() *Stats { return &s.stats }

// Start sends the first attempts.
func (s *Session) Start(now time.Time) Actions {
	if !s.enter(now) {
		return s.actions
	}
	s.snapshot = s.pin(0).Snapshot
	if s.strategy.Target > 0 {
		s.push(s.strategy.Target, 0, timerTarget)
	}
	s.launch()
	return s.leave()
}

// Wake acts on timers that are due.
func (s *Session) Wake(now time.Time) Actions {
	if !s.enter(now) {
		return s.actions
	}
	for len(s.timers) > 0 && s.timers[0].at <= s.now && !s.finished {
		due := s.timers.pop()
		if s.relevant(due) {
			s.fire(due)
		}
	}
	return s.leave()
}

// Abandon ends the query because its caller is gone; attempts in flight are cancelled.
func (s *Session) Abandon(now time.Time) Actions {
	if !s.enter(now) {
		return s.actions
	}
	s.stop(broker.ReasonCancelled)
	return s.leave()
}

// LinkDown ends the attempts at a node whose link went down; the tracker has to know of it already, so that
// retries go elsewhere.
func (s *Session) LinkDown(now time.Time, owner broker.NodeID) Actions {
	if !s.enter(now) {
		return s.actions
	}
	type position struct{ shard, slot int }
	var lost []position // collected first, because a failure may send more attempts
	for i := range s.shards {
		sh := &s.shards[i]
		for slot := range sh.attempts[:sh.used] {
			if made := &sh.attempts[slot]; made.state == attemptLive && made.owner == owner {
				lost = append(lost, position{shard: i, slot: slot})
			}
		}
	}
	for _, at := range lost {
		s.fail(at.shard, at.slot, broker.OutcomeUnknown, broker.ReasonUnreachable)
	}
	return s.leave()
}

// enter takes the time of an event and returns whether the session is still running.
func (s *Session) enter(now time.Time) bool {
	s.actions = Actions{}
	if s.finished {
		return false
	}
	s.now = max(s.now, now.Sub(s.started))
	if s.now >= s.deadline {
		s.stop(broker.ReasonDeadline)
		s.finish()
		return false
	}
	return true
}

// leave finishes the query or asks for the next call of Wake.
func (s *Session) leave() Actions {
	if s.rerunDue() {
		s.rerun()
	}
	if s.open == 0 {
		s.finish()
		return s.actions
	}
	for len(s.timers) > 0 && !s.relevant(s.timers[0]) {
		s.timers.pop()
	}
	next := s.deadline
	if len(s.timers) > 0 {
		next = min(next, s.timers[0].at)
	}
	if s.armed == 0 || next < s.armed || s.armed <= s.now {
		s.armed = next
		s.actions.WakeAt = s.started.Add(next)
	}
	return s.actions
}

// relevant returns whether a timer still has something to do.
func (s *Session) relevant(due timer) bool {
	if due.run != s.run {
		return false
	}
	sh := &s.shards[due.shard]
	switch due.kind {
	case timerHedge:
		return sh.state == shardOpen && !sh.hedged && sh.hedgeAt == due.at
	case timerStart:
		return sh.state == shardHeld && sh.waiting
	case timerOwner:
		return sh.state == shardOpen && sh.moving
	case timerSupersede:
		return sh.state == shardOpen && sh.live > 1
	case timerLaunch, timerTarget:
		return true
	default:
		return s.canary >= 0
	}
}

func (s *Session) fire(due timer) {
	switch due.kind {
	case timerHedge:
		s.hedge(int(due.shard))
	case timerStart:
		s.recheck(int(due.shard))
	case timerOwner:
		s.recheckOwner(int(due.shard))
	case timerSupersede:
		s.supersede(int(due.shard))
	case timerLaunch:
		s.launch()
	case timerTarget:
		s.targetReached()
	default:
		s.release()
	}
}
