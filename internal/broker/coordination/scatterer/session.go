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
	defaultDelayDivisor = 4  // deadline/4 replaces a latency quantile that is not known yet
	recheckDivisor      = 20 // deadline/20 passes between searches for a replica with free capacity
	hedgeRecheckDivisor = 4  // hedge delay/4 passes before a hedge denied by the budget is tried again
	rerunDivisor        = 10 // deadline/10 has to remain for a rerun on another snapshot
)

// Dependencies are the shared state that a session uses.
type Dependencies struct {
	View    *tracker.View
	Budgets *budgeter.KindBudgets
	Random  *rand.Rand
	// Strategy is set on hosts that send to backend servers themselves.
	Strategy Strategy
}

// Request is one query with what the entry host knows of it.
type Request struct {
	Query       broker.Query
	Fingerprint broker.Fingerprint
	Seen        bool // a request with this fingerprint has been answered before
	Suspect     bool // a server crashed while running this fingerprint, and it has not been cleared since
	Quarantined bool // no server may run this fingerprint
	TraceParent string
	Deadline    time.Time
}

// Session is one query in progress; it is not safe for concurrent use.
type Session struct {
	view    *tracker.View
	service *tracker.Service
	kind    *configurator.RequestKind
	budgets *budgeter.KindBudgets
	random  *rand.Rand
	request Request

	strategy        Strategy
	targetPassed    bool
	currentOpaque   *broker.OpaqueAnswer // opaque part of the answer being processed
	exchangeLatency time.Duration        // latency stated with the answer being processed, or zero
	parts           []*broker.OpaqueAnswer

	started  time.Time
	deadline time.Duration // since started, like all durations below
	wakeAt   time.Duration // requested time of the next call of Wake
	now      time.Duration
	timers   timers

	snapshot       broker.Snapshot
	run            uint8
	firstShard     int // position of the first shard in the service
	shards         []shard
	unresolved     int // shards neither answered nor missing
	answered       int
	attemptsNotRun int  // attempts that certainly did not run
	snapshotMisses int  // missing shards with an attempt refused as snapshotMissing
	canaryShard    int  // position of the shard whose canary the others wait for, or -1
	secondCanary   int  // position of the shard with a canary sent because the first one is slow, or -1
	anyAnswered    bool // a shard has answered, so that no canary is needed
	suspect        bool // a server crashed while running the request
	crashes        int
	trialShard     int // position of the shard with the one trial that a suspect is allowed, or -1
	merged         merger

	subRequests []broker.SubRequest
	actions     Actions
	finished    bool
	stats       Stats
}

// New plans a query that starts at now; it returns an *Error if the request kind or its service is unknown, or the
// service has no shards.
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
		view:         deps.View,
		service:      service,
		kind:         kind,
		budgets:      deps.Budgets,
		random:       deps.Random,
		strategy:     deps.Strategy,
		request:      request,
		started:      now,
		deadline:     request.Deadline.Sub(now),
		canaryShard:  -1,
		secondCanary: -1,
		trialShard:   -1,
		merged:       merger{limit: request.Query.Limit},
	}
	if request.Suspect {
		s.suspect, s.crashes = true, 1
	}
	s.selectShards()
	return s, nil
}

func planError(kind ErrorKind, name string) error {
	return &Error{Op: "plan query", Kind: kind, Err: errors.Errorf("name %q", name)}
}

// TargetShard returns the shard of a request that goes to one shard only, or nil for a request to all shards.
func TargetShard(service *indexer.Service, kind *configurator.RequestKind, query *broker.Query) *indexer.Shard {
	switch {
	case service.Routing == configurator.RoutingKey, !kind.Idempotent && query.Key != "":
		return service.ShardOfKey(query.Key)
	case service.Routing == configurator.RoutingAny, !kind.Idempotent:
		// A repeated request must reach the same claim point as the first one.
		return service.ShardOfKey(query.RequestID)
	default:
		return nil
	}
}

// selectShards sets the shards that the query goes to.
func (s *Session) selectShards() {
	tracked := s.service.Tracked
	if target := TargetShard(s.service.Service, s.kind, &s.request.Query); target != nil {
		s.firstShard, _ = s.service.ShardIndex(target.Name)
		tracked = tracked[s.firstShard : s.firstShard+1]
	}
	s.shards = make([]shard, len(tracked))
	for i := range tracked {
		s.shards[i].tracked = &tracked[i]
	}
	s.unresolved = len(s.shards)
}

// Snapshot returns the pinned snapshot.
func (s *Session) Snapshot() broker.Snapshot { return s.snapshot }

// Stats returns the counters of the session.
func (s *Session) Stats() *Stats { return &s.stats }

// Start sends the first attempts.
func (s *Session) Start(now time.Time) Actions {
	if !s.beginEvent(now) {
		return s.actions
	}
	if s.request.Quarantined {
		s.stopUnanswered(broker.ReasonQuarantined)
		return s.endEvent()
	}
	s.snapshot = s.bestSnapshot(0).Snapshot
	if s.lacksServers() {
		s.stopUnanswered(broker.ReasonLimited)
		return s.endEvent()
	}
	if s.strategy.Target > 0 {
		s.schedule(s.strategy.Target, 0, timerLatencyTarget)
	}
	s.startAttempts()
	return s.endEvent()
}

// Wake runs the timers that are due.
func (s *Session) Wake(now time.Time) Actions {
	if !s.beginEvent(now) {
		return s.actions
	}
	for len(s.timers) > 0 && s.timers[0].at <= s.now && !s.finished {
		due := s.timers.pop()
		if s.stillDue(due) {
			s.runTimer(due)
		}
	}
	return s.endEvent()
}

// Abandon ends the query because its caller has disconnected; attempts in flight are cancelled.
func (s *Session) Abandon(now time.Time) Actions {
	if !s.beginEvent(now) {
		return s.actions
	}
	s.stopUnanswered(broker.ReasonCancelled)
	return s.endEvent()
}

// Expire ends the query with the answers so far, because this host stops before its deadline.
func (s *Session) Expire(now time.Time) Actions {
	if !s.beginEvent(now) {
		return s.actions
	}
	s.stopUnanswered(broker.ReasonLeaving)
	return s.endEvent()
}

// LinkDown ends the attempts at a node whose link went down; the tracker has to be updated before, so that retries go
// to other nodes.
func (s *Session) LinkDown(now time.Time, owner broker.NodeID) Actions {
	if !s.beginEvent(now) {
		return s.actions
	}
	type position struct{ shard, slot int }
	var affected []position // collected first, because failAttempt may add attempts
	for i := range s.shards {
		sh := &s.shards[i]
		for slot := range sh.attempts[:sh.attemptCount] {
			if a := &sh.attempts[slot]; a.state == attemptInFlight && a.owner == owner {
				affected = append(affected, position{shard: i, slot: slot})
			}
		}
	}
	for _, at := range affected {
		s.failAttempt(at.shard, at.slot, broker.OutcomeUnknown, broker.ReasonUnreachable)
	}
	return s.endEvent()
}

// beginEvent advances the session's clock and returns whether the session is still running.
func (s *Session) beginEvent(now time.Time) bool {
	s.actions = Actions{}
	if s.finished {
		return false
	}
	s.now = max(s.now, now.Sub(s.started))
	if s.now >= s.deadline {
		s.stopUnanswered(broker.ReasonDeadline)
		s.finish()
		return false
	}
	return true
}

// endEvent finishes the query or requests the next call of Wake.
func (s *Session) endEvent() Actions {
	if s.needsRerun() {
		s.rerun()
	}
	if s.unresolved == 0 {
		s.finish()
		return s.actions
	}
	for len(s.timers) > 0 && !s.stillDue(s.timers[0]) {
		s.timers.pop()
	}
	next := s.deadline
	if len(s.timers) > 0 {
		next = min(next, s.timers[0].at)
	}
	if s.wakeAt == 0 || next < s.wakeAt || s.wakeAt <= s.now {
		s.wakeAt = next
		s.actions.WakeAt = s.started.Add(next)
	}
	return s.actions
}

// stillDue returns whether a timer has not become obsolete.
func (s *Session) stillDue(due timer) bool {
	if due.run != s.run {
		return false
	}
	sh := &s.shards[due.shard]
	switch due.kind {
	case timerHedge:
		return sh.state == shardStarted && !sh.hedged && sh.hedgeAt == due.at
	case timerRetryStart:
		return sh.state == shardUnstarted && sh.awaitingCapacity
	case timerRetryOwner:
		return sh.state == shardStarted && sh.awaitingOwner
	case timerSupersede:
		return sh.state == shardStarted && sh.inFlight > 1
	case timerRetryCanary, timerLatencyTarget:
		return true
	default:
		return s.canaryShard == int(due.shard) && s.secondCanary < 0
	}
}

func (s *Session) runTimer(due timer) {
	switch due.kind {
	case timerHedge:
		s.hedge(int(due.shard))
	case timerRetryStart:
		s.retryStart(int(due.shard))
	case timerRetryOwner:
		s.retryOwner(int(due.shard))
	case timerSupersede:
		s.supersede(int(due.shard))
	case timerRetryCanary:
		s.startAttempts()
	case timerLatencyTarget:
		s.targetReached()
	default:
		s.sendSecondCanary()
	}
}
