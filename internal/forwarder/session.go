package forwarder

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/collator"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/scatterer"
	"github.com/yuccarock/yuccarock/internal/broker/state/registrar"
	"github.com/yuccarock/yuccarock/internal/broker/state/tracker"
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

// session is one request in progress.
type session struct {
	forwarder *Forwarder
	view      *registrar.View
	route     *broker.Route
	kind      string
	request   *broker.OpaqueRequest
	started   time.Time
	deadline  time.Time

	scatter        *scatterer.Session
	inbox          chan attemptResult
	cancels        map[attemptKey]context.CancelFunc
	timer          *time.Timer
	final          *broker.Answer
	lastFailure    *broker.OpaqueAnswer // last failure answer of a backend server
	failedAttempts []any                // attempts without a successful answer, for the log
	callerGone     bool
	result         string
}

// answer runs the request and answers the caller.
func (s *session) answer(ctx context.Context, w http.ResponseWriter) {
	f := s.forwarder
	var err error
	s.scatter, err = scatterer.New(scatterer.Dependencies{
		View: s.view.Tracked, Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Strategy: scatterer.NewStrategy(s.route, f.settings.Zone, f.budgets),
	}, scatterer.Request{
		Query:    broker.Query{RequestID: s.request.ID, Kind: s.kind},
		Seen:     true,
		Deadline: s.deadline,
	}, s.started)
	if err != nil {
		f.logger.Error("could not plan a request", "id", s.request.ID, "route", s.route.Name, "error", err)
		f.codec.WriteError(w,
			broker.Failure{Kind: broker.FailureNotRun, Reason: broker.ReasonNoReplica, RetryAfter: noServerRetry})
		return
	}
	shards := max(1, len(s.route.Shards))
	s.inbox = make(chan attemptResult, inboxSizePerShard*shards)
	s.cancels = make(map[attemptKey]context.CancelFunc, shards)
	s.timer = time.NewTimer(time.Until(s.deadline))
	defer s.timer.Stop()
	s.loop(ctx)
	f.meters.addAttempts(s.scatter.Stats())
	s.write(w)
	elapsed := time.Since(s.started)
	f.meters.requestEnded(s.route.Name, s.result, elapsed)
	s.log(elapsed)
}

// loop runs until the scatter has finished, which its timer ensures at the deadline.
func (s *session) loop(ctx context.Context) {
	s.applyActions(ctx, s.scatter.Start(time.Now()))
	for s.final == nil {
		select {
		case ended := <-s.inbox:
			s.recordResult(&ended)
			s.applyActions(ctx, s.scatter.AnswerOpaque(time.Now(), &ended.answer, ended.opaque))
		case <-s.timer.C:
			s.applyActions(ctx, s.scatter.Wake(time.Now()))
		case <-ctx.Done():
			s.callerGone = true
			s.applyActions(ctx, s.scatter.Abandon(time.Now()))
		}
	}
}

func (s *session) applyActions(ctx context.Context, actions scatterer.Actions) {
	if actions.Finish != nil {
		s.final = actions.Finish
	}
	for _, cancel := range actions.Cancels {
		s.cancelAfterGrace(cancel.Cancel)
	}
	for _, send := range actions.Sends {
		s.startAttempt(ctx, send.Sub)
	}
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

func (s *session) startAttempt(ctx context.Context, sub *broker.SubRequest) {
	instance := s.view.Instances[sub.Server]
	server := s.forwarder.tracker.Server(sub.Server)
	if instance == nil || server == nil {
		s.inbox <- attemptResult{answer: scatterer.NotSent(sub)}
		return
	}
	// The attempt may outlive the caller's request by its grace.
	attemptCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), s.deadline)
	s.cancels[attemptKey{shard: sub.Shard, attempt: sub.Attempt}] = cancel
	go func() {
		defer cancel()
		s.inbox <- s.exchange(attemptCtx, sub, instance, server)
	}()
}

// exchange makes one attempt and records its outcome for the server.
func (s *session) exchange(
	ctx context.Context, sub *broker.SubRequest, instance *registrar.Instance, server *tracker.Server,
) attemptResult {
	f := s.forwarder
	if trace.SpanFromContext(ctx).IsRecording() {
		spanCtx, span := f.tracer.Start(ctx, "entry.attempt", attribute.String("shard", string(sub.Shard)),
			attribute.String("server", string(sub.Server)), attribute.Int("attempt", int(sub.Attempt)))
		defer span.End()
		ctx = spanCtx
	}
	sent := time.Now()
	server.ExchangeStarted(sent)
	reply := f.dispatcher.Exchange(ctx, sub.Server, &broker.ServerRequest{
		Method: s.request.Method,
		Head:   f.codec.Head(nil, s.request, instance.ID, s.deadline.Sub(sent)),
		Body:   s.request.Body,
		Reuse:  func(header http.Header) bool { return f.codec.Matches(s.request, header) },
	})
	now := time.Now()
	ended := attemptResult{answer: scatterer.NotSent(sub), opaque: reply.Answer, sent: sent}
	if reply.Answer == nil {
		ended.answer.Outcome, ended.answer.Reason = broker.OutcomeUnknown, reply.Reason
		if !reply.Sent {
			ended.answer.Outcome = broker.OutcomeNotRun
		}
		if reply.Sent && reply.Reason == broker.ReasonLost {
			f.quarantine.recordCrash(s.request, sub)
		}
		if ctx.Err() != nil && now.Sub(sent) < callerGoneGrace {
			server.ExchangeDiscarded(sent)
		} else {
			server.ExchangeEnded(sent, now, true)
		}
		return ended
	}
	f.quarantine.recordSurvival(s.request, sub)
	classification := f.codec.Classify(s.request, reply.Answer)
	if s.route.Scatter() && classification.Outcome == broker.OutcomeAnswered && reply.Answer.Status/100 != 2 {
		classification = broker.Classification{Outcome: broker.OutcomeFailed, Reason: broker.ReasonBackendError}
	}
	ended.answer.Outcome, ended.answer.Reason = classification.Outcome, classification.Reason
	if classification.Reason == broker.ReasonMoved {
		server.MarkReassigned(instance.Address)
	}
	server.ExchangeEnded(sent, now, classification.Outcome != broker.OutcomeAnswered)
	return ended
}

// recordResult keeps the result of an attempt without a successful answer for the answer to the caller and the log.
func (s *session) recordResult(ended *attemptResult) {
	if ended.answer.Outcome == broker.OutcomeFailed {
		s.lastFailure = ended.opaque
	}
	if ended.answer.Outcome == broker.OutcomeAnswered {
		return
	}
	elapsed := time.Duration(0)
	if !ended.sent.IsZero() {
		elapsed = time.Since(ended.sent)
	}
	s.failedAttempts = append(s.failedAttempts, map[string]any{
		"shard": ended.answer.Shard, "server": ended.answer.Server, "attempt": ended.answer.Attempt,
		"outcome": ended.answer.Outcome.String(), "reason": ended.answer.Reason, "ms": elapsed.Milliseconds(),
	})
}

// write sends the answer to the caller.
func (s *session) write(w http.ResponseWriter) {
	f := s.forwarder
	parts := s.scatter.Parts()
	complete := s.final.Status == broker.StatusComplete || s.final.Status == broker.StatusPartial
	s.result = string(s.final.Status)
	if s.route.Scatter() && !s.callerGone {
		f.isolation.recordScatter(complete)
	}
	switch {
	case s.callerGone:
		s.result = "callerGone"
		f.meters.callersGone.Inc()
	case complete && len(parts) > 0 && s.route.Scatter():
		f.meters.parts.Add(len(parts))
		f.meters.missing.Add(len(s.route.Shards) - len(parts))
		s.writeMerged(w, parts)
	case complete && len(parts) > 0:
		f.codec.WriteAnswer(w, parts[0])
	case s.final.Status == broker.StatusNotRun:
		f.codec.WriteError(w, broker.Failure{Kind: broker.FailureNotRun, Reason: s.final.Reason, RetryAfter: noServerRetry})
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

func (s *session) writeMerged(w http.ResponseWriter, parts []*broker.OpaqueAnswer) {
	bodies := make([][]byte, len(parts))
	signatures := make([]string, len(parts))
	for i, part := range parts {
		bodies[i], signatures[i] = part.Body, part.Signature
	}
	s.forwarder.codec.WriteMerged(w, collator.Top(bodies, s.route.TopRecords), signatures, len(s.route.Shards)-len(parts))
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
	s.forwarder.logger.Info("request", "id", s.request.ID, "route", s.route.Name, "version", s.view.Catalog.Version,
		"result", s.result, "reason", s.final.Reason, "ms", elapsed.Milliseconds(),
		"targetMs", s.route.LatencyTarget.Milliseconds(), "patienceMs", s.deadline.Sub(s.started).Milliseconds(),
		"shards", s.final.Coverage.ShardsTotal, "answered", s.final.Coverage.ShardsAnswered,
		"missing", s.final.Coverage.Missing[:min(len(s.final.Coverage.Missing), maxListed)],
		"sent", stats.Sent, "hedges", stats.Hedges, "hedgesDenied", stats.HedgesDenied,
		"retries", stats.Retries, "retriesDenied", stats.RetriesDenied,
		"attempts", s.failedAttempts[:min(len(s.failedAttempts), maxListed)],
		"attemptsNotListed", max(0, len(s.failedAttempts)-maxListed), "skippedLines", skipped)
}
