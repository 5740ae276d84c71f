package forwarder

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/scatterer"
	"github.com/yuccarock/yuccarock/internal/broker/state/accountant"
	"github.com/yuccarock/yuccarock/internal/broker/state/registrar"
)

const (
	// cancelGrace is how long an attempt may continue after its answer is no longer needed, so that its connection can be
	// kept: most attempts last no longer than a pause of their server, and a new connection costs the server more.
	cancelGrace = 250 * time.Millisecond
	// callerGoneGrace replaces cancelGrace after the caller has left, because servers should stop working for it soon.
	callerGoneGrace = 100 * time.Millisecond
	// Log lines about single requests are limited to requestLogRate per second with a burst of requestLogBurst.
	requestLogRate  = 40
	requestLogBurst = 200
	// maxListed limits the missing shards and the attempts in a log line, because lines are cut at a few kilobytes.
	maxListed = 12
	// inboxSizePerShard is the inbox capacity per shard, enough for the results of all its attempts.
	inboxSizePerShard = 4
)

// attemptKey identifies an attempt within one request.
type attemptKey struct {
	shard   broker.ShardName
	attempt uint32
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	answer broker.SubAnswer
	opaque *broker.OpaqueAnswer
	sent   time.Time
}

// arrival is what a session learns at once.
type arrival struct {
	results []attemptResult
	merged  *mergedParts // parts among the results that another host has merged, or nil
}

// session is one request in progress.
type session struct {
	forwarder *Forwarder
	view      *registrar.View
	route     *broker.Route
	kind      string
	request   *broker.OpaqueRequest
	started   time.Time
	deadline  time.Time
	lease     *accountant.Lease

	scatter        *scatterer.Session
	inbox          chan arrival
	cancels        map[attemptKey]context.CancelFunc
	timer          *time.Timer
	final          *broker.Answer
	parts          partSet              // of a scatter
	lastFailure    *broker.OpaqueAnswer // last failure answer of a backend server that callers may get
	failedAttempts []any                // attempts without a successful answer, for the log
	callerGone     bool
	answered       atomic.Bool // whether a server has answered an attempt
	result         string
}

// answer runs the request and answers the caller.
func (s *session) answer(ctx context.Context, w http.ResponseWriter) {
	f := s.forwarder
	strategy := scatterer.NewStrategy(s.route, f.settings.Zone, f.budgets)
	strategy.DelegatedZones = f.delegates.Zones(s.started)
	strategy.Withheld = s.withheld
	var err error
	s.scatter, err = scatterer.New(scatterer.Dependencies{
		View: s.view.Tracked, Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Strategy: strategy,
	}, scatterer.Request{
		Query:    broker.Query{RequestID: s.request.ID, Kind: s.kind},
		Seen:     true,
		Deadline: s.deadline,
	}, s.started)
	if err != nil {
		f.logger.Error("could not plan a request", "id", s.request.ID, "route", shortName(s.route.Name), "error", err)
		f.codec.WriteError(w,
			broker.Failure{Kind: broker.FailureNotRun, Reason: broker.ReasonNoReplica, RetryAfter: noServerRetry})
		return
	}
	shards := max(1, len(s.route.Shards))
	s.inbox = make(chan arrival, inboxSizePerShard*shards)
	s.cancels = make(map[attemptKey]context.CancelFunc, shards)
	s.timer = time.NewTimer(time.Until(s.deadline))
	defer s.timer.Stop()
	s.loop(ctx)
	f.meters.addAttempts(s.scatter.Stats())
	s.write(w)
	elapsed := time.Since(s.started)
	f.meters.requestEnded(s.route, s.result, elapsed)
	s.log(elapsed)
}

// loop runs until the scatter has finished, which its timer ensures at the deadline.
func (s *session) loop(ctx context.Context) {
	s.applyActions(ctx, s.scatter.Start(time.Now()))
	for s.final == nil {
		select {
		case arrived := <-s.inbox:
			s.process(ctx, &arrived)
		case <-s.timer.C:
			s.applyActions(ctx, s.scatter.Wake(time.Now()))
		case <-s.forwarder.cutoff.reached:
			s.applyActions(ctx, s.scatter.Expire(time.Now()))
		case <-ctx.Done():
			s.callerGone = true
			s.applyActions(ctx, s.scatter.Abandon(time.Now()))
		}
	}
}

// process passes results on to the scatter until it has finished. Merged parts are recorded together, whatever the
// scatter still needs, because their records cannot be separated.
func (s *session) process(ctx context.Context, arrived *arrival) {
	if arrived.merged != nil {
		s.parts.addMerged(arrived.merged)
	}
	for i := range arrived.results {
		ended := &arrived.results[i]
		s.recordResult(ended)
		if s.final != nil {
			continue
		}
		if arrived.merged == nil && ended.answer.Outcome == broker.OutcomeAnswered {
			s.parts.add(ended.answer.Shard, ended.opaque)
		}
		s.applyActions(ctx, s.scatter.AnswerOpaque(time.Now(), &ended.answer, ended.opaque))
	}
}

func (s *session) applyActions(ctx context.Context, actions scatterer.Actions) {
	if actions.Finish != nil {
		s.final = actions.Finish
	}
	for _, cancel := range actions.Cancels {
		s.cancelAfterGrace(cancel.Cancel)
	}
	s.startAttempts(ctx, actions.Sends)
	if !actions.WakeAt.IsZero() {
		s.timer.Reset(time.Until(actions.WakeAt))
	}
}

// cancelAfterGrace cancels an attempt that is no longer needed after cancelGrace or callerGoneGrace.
func (s *session) cancelAfterGrace(c *broker.Cancel) {
	key := attemptKey{shard: c.Shard, attempt: c.Attempt}
	if cancel := s.cancels[key]; cancel != nil {
		delay := cancelGrace
		if s.callerGone {
			delay = callerGoneGrace
		}
		time.AfterFunc(delay, cancel)
	}
}

// recordResult keeps the result of an attempt without a successful answer for the answer to the caller and the log.
func (s *session) recordResult(ended *attemptResult) {
	if ended.answer.Outcome == broker.OutcomeFailed && ended.answer.Reason != broker.ReasonUnmarkedRefusal {
		s.lastFailure = ended.opaque
	}
	if ended.answer.Outcome == broker.OutcomeAnswered {
		return
	}
	elapsed := time.Duration(0)
	if !ended.sent.IsZero() {
		elapsed = time.Since(ended.sent)
	}
	attempt := map[string]any{
		"shard": ended.answer.Shard, "server": ended.answer.Server, "attempt": ended.answer.Attempt,
		"outcome": ended.answer.Outcome.String(), "reason": ended.answer.Reason, "ms": elapsed.Milliseconds(),
	}
	if ended.opaque != nil {
		attempt["status"] = ended.opaque.Status
	}
	s.failedAttempts = append(s.failedAttempts, attempt)
}

// write sends the answer to the caller.
func (s *session) write(w http.ResponseWriter) {
	f := s.forwarder
	s.extendLease()
	complete := s.final.Status == broker.StatusComplete || s.final.Status == broker.StatusPartial
	s.result = string(s.final.Status)
	if s.route.Scatter() && !s.callerGone && s.final.Reason != broker.ReasonLimited {
		f.isolation.recordScatter(complete)
	}
	switch {
	case s.callerGone:
		s.result = "callerGone"
		f.meters.callersGone.Inc()
		// Without an answer, net/http would send an empty success on a connection of which only one side is closed.
		abortConnection(w)
	case complete && s.route.Scatter() && s.parts.len() > 0:
		missing := len(s.route.Shards) - s.parts.len()
		f.meters.parts.Add(s.parts.len())
		f.meters.missing.Add(missing)
		records, signatures := s.parts.top(s.route.TopRecords)
		f.codec.WriteMerged(w, records, signatures, missing)
	case complete && len(s.scatter.Parts()) > 0:
		f.codec.WriteAnswer(w, s.scatter.Parts()[0])
	case s.final.Status == broker.StatusNotRun:
		f.codec.WriteError(w, broker.Failure{Kind: broker.FailureNotRun, Reason: s.final.Reason, RetryAfter: s.retryAfter()})
	case s.lastFailure != nil && !s.route.Scatter():
		s.result = "serverFailed"
		f.codec.WriteAnswer(w, s.lastFailure)
	case s.final.Reason == broker.ReasonDeadline:
		s.result = "timeout"
		f.codec.WriteError(w, broker.Failure{Kind: broker.FailureTimeout, Reason: s.final.Reason})
	default:
		f.codec.WriteError(w, broker.Failure{Kind: broker.FailureUnknown, Reason: s.final.Reason})
	}
}

// extendLease adds the answer of a backend server, which is held until the caller has read it.
func (s *session) extendLease() {
	if s.lastFailure != nil {
		s.lease.Extend(int64(len(s.lastFailure.Body)))
	}
	for _, part := range s.scatter.Parts() {
		s.lease.Extend(int64(len(part.Body)))
	}
}

// abortConnection closes the connection of a caller without an answer.
func abortConnection(w http.ResponseWriter) {
	if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
		_ = conn.Close()
	}
}

// retryAfter returns when the caller of a request that did not run should retry.
func (s *session) retryAfter() time.Duration {
	if s.final.Reason != broker.ReasonLimited {
		return noServerRetry
	}
	s.forwarder.notices.rejected.Inc()
	return spreadRetry(s.scatter.AvailableIn(), rand.Float64())
}

// log writes a line for a request that was late, incomplete or had failed attempts.
func (s *session) log(elapsed time.Duration) {
	onTime := s.route.LatencyTarget == 0 || elapsed <= s.route.LatencyTarget
	if len(s.failedAttempts) == 0 && s.final.Status == broker.StatusComplete && onTime {
		return
	}
	skipped, ok := s.forwarder.requestLogLimiter.Allow(time.Now())
	if !ok {
		return
	}
	stats := s.scatter.Stats()
	s.forwarder.logger.Info("request", "id", s.request.ID, "route", shortName(s.route.Name), "host", shortName(s.route.Host),
		"prefix", shortName(s.route.Prefix), "version", s.view.Catalog.Version,
		"result", s.result, "reason", s.final.Reason, "ms", elapsed.Milliseconds(),
		"targetMs", s.route.LatencyTarget.Milliseconds(), "patienceMs", s.deadline.Sub(s.started).Milliseconds(),
		"shards", s.final.Coverage.ShardsTotal, "answered", s.final.Coverage.ShardsAnswered,
		"missing", s.final.Coverage.Missing[:min(len(s.final.Coverage.Missing), maxListed)],
		"sent", stats.Sent, "hedges", stats.Hedges, "hedgesDenied", stats.HedgesDenied,
		"retries", stats.Retries, "retriesDenied", stats.RetriesDenied, "withheld", stats.Withheld,
		"attempts", s.failedAttempts[:min(len(s.failedAttempts), maxListed)],
		"attemptsNotListed", max(0, len(s.failedAttempts)-maxListed), "skippedLines", skipped)
}
