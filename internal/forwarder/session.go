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
	// drainTime is how long an attempt whose answer is no longer needed may go on, so that its connection can be kept:
	// most end within the pause of a server, and a new connection costs the server more.
	drainTime = 250 * time.Millisecond
	// goneTime is the same after the caller has left; servers should stop working for it soon.
	goneTime = 100 * time.Millisecond
	// requestLines a second, with a burst of requestLineBurst, is the volume of lines on single requests.
	requestLines     = 40
	requestLineBurst = 200
	// listed bounds the missing shards and the attempts that one line lists, because lines are cut at a few kilobytes.
	listed = 12
	// inboxPerShard leaves room for the answers of all attempts at a shard.
	inboxPerShard = 4
)

// attemptKey names an attempt within one request.
type attemptKey struct {
	shard   broker.ShardName
	attempt uint32
}

// result is the end of one attempt.
type result struct {
	answer broker.SubAnswer
	opaque *broker.OpaqueAnswer
	sent   time.Time
}

// run is one request in progress.
type run struct {
	forwarder *Forwarder
	view      *registrar.View
	route     *broker.Route
	kind      string
	request   *broker.OpaqueRequest
	started   time.Time
	deadline  time.Time

	core    *scatterer.Session
	inbox   chan result
	cancels map[attemptKey]context.CancelFunc
	timer   *time.Timer
	finish  *broker.Answer
	failed  *broker.OpaqueAnswer // last failure that a backend server stated
	trail   []any                // attempts that did not go as planned, for the log
	gone    bool                 // the caller has left
	result  string
}

// answer runs the request and answers the caller.
func (r *run) answer(ctx context.Context, w http.ResponseWriter) {
	f := r.forwarder
	var err error
	r.core, err = scatterer.New(scatterer.Dependencies{
		View: r.view.Tracked, Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Strategy: scatterer.NewStrategy(r.route, f.settings.Zone, f.budgets),
	}, scatterer.Request{
		Query:    broker.Query{RequestID: r.request.ID, Kind: r.kind},
		Seen:     true,
		Deadline: r.deadline,
	}, r.started)
	if err != nil {
		f.logger.Error("could not plan a request", "id", r.request.ID, "route", r.route.Name, "error", err)
		f.codec.WriteError(w, broker.Failure{Kind: broker.FailureNotRun, Reason: broker.ReasonNoReplica, RetryAfter: serverRetry})
		return
	}
	shards := max(1, len(r.route.Shards))
	r.inbox = make(chan result, inboxPerShard*shards)
	r.cancels = make(map[attemptKey]context.CancelFunc, shards)
	r.timer = time.NewTimer(time.Until(r.deadline))
	defer r.timer.Stop()
	r.loop(ctx)
	f.meters.session(r.core.Stats())
	r.write(w)
	elapsed := time.Since(r.started)
	f.meters.request(r.route.Name, r.result, elapsed)
	r.log(elapsed)
}

// loop ends with the answer: the core's timer at the deadline finishes the request at the latest.
func (r *run) loop(ctx context.Context) {
	r.apply(ctx, r.core.Start(time.Now()))
	for r.finish == nil {
		select {
		case ended := <-r.inbox:
			r.note(&ended)
			r.apply(ctx, r.core.AnswerOpaque(time.Now(), &ended.answer, ended.opaque))
		case <-r.timer.C:
			r.apply(ctx, r.core.Wake(time.Now()))
		case <-ctx.Done():
			r.gone = true
			r.apply(ctx, r.core.Abandon(time.Now()))
		}
	}
}

func (r *run) apply(ctx context.Context, actions scatterer.Actions) {
	if actions.Finish != nil {
		r.finish = actions.Finish
	}
	for _, cancel := range actions.Cancels {
		r.cancel(cancel.Cancel)
	}
	for _, send := range actions.Sends {
		r.send(ctx, send.Sub)
	}
	if !actions.WakeAt.IsZero() {
		r.timer.Reset(time.Until(actions.WakeAt))
	}
}

// cancel lets an attempt that is no longer needed go on for a while.
func (r *run) cancel(c *broker.Cancel) {
	key := attemptKey{shard: c.Shard, attempt: c.Attempt}
	if cancel := r.cancels[key]; cancel != nil {
		delay := drainTime
		if r.gone {
			delay = goneTime
		}
		time.AfterFunc(delay, cancel)
	}
}

// send starts an attempt.
func (r *run) send(ctx context.Context, sub *broker.SubRequest) {
	instance := r.view.Instances[sub.Server]
	server := r.forwarder.tracker.Server(sub.Server)
	if instance == nil || server == nil {
		r.inbox <- result{answer: scatterer.NotSent(sub)}
		return
	}
	// The attempt outlives the caller's request where it is drained.
	attemptCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), r.deadline)
	r.cancels[attemptKey{shard: sub.Shard, attempt: sub.Attempt}] = cancel
	go func() {
		defer cancel()
		r.inbox <- r.exchange(attemptCtx, sub, instance, server)
	}()
}

// exchange makes one attempt and records what it says of the server.
func (r *run) exchange(
	ctx context.Context, sub *broker.SubRequest, instance *registrar.Instance, server *tracker.Server,
) result {
	f := r.forwarder
	if trace.SpanFromContext(ctx).IsRecording() {
		spanCtx, span := f.tracer.Start(ctx, "entry.attempt", attribute.String("shard", string(sub.Shard)),
			attribute.String("server", string(sub.Server)), attribute.Int("attempt", int(sub.Attempt)))
		defer span.End()
		ctx = spanCtx
	}
	sent := time.Now()
	server.ExchangeStarted(sent)
	reply := f.dispatcher.Exchange(ctx, sub.Server, &broker.ServerRequest{
		Method: r.request.Method,
		Head:   f.codec.Head(nil, r.request, instance.ID, r.deadline.Sub(sent)),
		Body:   r.request.Body,
		Trust:  func(header http.Header) bool { return f.codec.Belongs(r.request, header) },
	})
	now := time.Now()
	ended := result{answer: scatterer.NotSent(sub), opaque: reply.Answer, sent: sent}
	if reply.Answer == nil {
		ended.answer.Outcome, ended.answer.Reason = broker.OutcomeUnknown, reply.Reason
		if !reply.Sent {
			ended.answer.Outcome = broker.OutcomeNotRun
		}
		if reply.Sent && reply.Reason == broker.ReasonLost {
			f.quarantine.crashed(r.request, sub)
		}
		if ctx.Err() != nil && now.Sub(sent) < goneTime {
			server.ExchangeDiscarded(sent)
		} else {
			server.ExchangeEnded(sent, now, true)
		}
		return ended
	}
	f.quarantine.answered(r.request, sub)
	verdict := f.codec.Judge(r.request, reply.Answer)
	if r.route.Scatter() && verdict.Outcome == broker.OutcomeAnswered && reply.Answer.Status/100 != 2 {
		verdict = broker.Verdict{Outcome: broker.OutcomeFailed, Reason: broker.ReasonBackendError}
	}
	ended.answer.Outcome, ended.answer.Reason = verdict.Outcome, verdict.Reason
	if verdict.Reason == broker.ReasonMoved {
		server.MarkReassigned(instance.Address)
	}
	server.ExchangeEnded(sent, now, verdict.Outcome != broker.OutcomeAnswered)
	return ended
}

// note keeps what an attempt that did not go as planned leaves for the answer and the log.
func (r *run) note(ended *result) {
	if ended.answer.Outcome == broker.OutcomeFailed {
		r.failed = ended.opaque
	}
	if ended.answer.Outcome == broker.OutcomeAnswered {
		return
	}
	elapsed := time.Duration(0)
	if !ended.sent.IsZero() {
		elapsed = time.Since(ended.sent)
	}
	r.trail = append(r.trail, map[string]any{
		"shard": ended.answer.Shard, "server": ended.answer.Server, "attempt": ended.answer.Attempt,
		"outcome": ended.answer.Outcome.String(), "reason": ended.answer.Reason, "ms": elapsed.Milliseconds(),
	})
}

// write sends the answer to the caller.
func (r *run) write(w http.ResponseWriter) {
	f := r.forwarder
	parts := r.core.Parts()
	complete := r.finish.Status == broker.StatusComplete || r.finish.Status == broker.StatusPartial
	r.result = string(r.finish.Status)
	if r.route.Scatter() && !r.gone {
		f.isolation.scattered(complete)
	}
	switch {
	case r.gone:
		r.result = "callerGone"
		f.meters.callersGone.Inc()
	case complete && len(parts) > 0 && r.route.Scatter():
		f.meters.parts.Add(len(parts))
		f.meters.missing.Add(len(r.route.Shards) - len(parts))
		r.writeMerged(w, parts)
	case complete && len(parts) > 0:
		f.codec.WriteAnswer(w, parts[0])
	case r.finish.Status == broker.StatusNotRun:
		f.codec.WriteError(w, broker.Failure{Kind: broker.FailureNotRun, Reason: r.finish.Reason, RetryAfter: serverRetry})
	case r.failed != nil && !r.route.Scatter():
		r.result = "serverFailed"
		f.codec.WriteAnswer(w, r.failed)
	case r.finish.Reason == broker.ReasonDeadline:
		r.result = "timeout"
		f.codec.WriteError(w, broker.Failure{Kind: broker.FailureTimeout, Reason: r.finish.Reason})
	default:
		f.codec.WriteError(w, broker.Failure{Kind: broker.FailureUnknown, Reason: r.finish.Reason})
	}
}

func (r *run) writeMerged(w http.ResponseWriter, parts []*broker.OpaqueAnswer) {
	bodies := make([][]byte, len(parts))
	signatures := make([]string, len(parts))
	for i, part := range parts {
		bodies[i], signatures[i] = part.Body, part.Signature
	}
	r.forwarder.codec.WriteMerged(w, collator.Top(bodies, r.route.TopRecords), signatures, len(r.route.Shards)-len(parts))
}

// log writes a line for a request that did not go as planned.
func (r *run) log(elapsed time.Duration) {
	onTime := r.route.LatencyTarget == 0 || elapsed <= r.route.LatencyTarget
	if len(r.trail) == 0 && r.finish.Status == broker.StatusComplete && onTime {
		return
	}
	skipped, ok := r.forwarder.slow.Allow(time.Now())
	if !ok {
		return
	}
	stats := r.core.Stats()
	r.forwarder.logger.Info("request", "id", r.request.ID, "route", r.route.Name, "version", r.view.Catalog.Version,
		"result", r.result, "reason", r.finish.Reason, "ms", elapsed.Milliseconds(),
		"targetMs", r.route.LatencyTarget.Milliseconds(), "patienceMs", r.deadline.Sub(r.started).Milliseconds(),
		"shards", r.finish.Coverage.ShardsTotal, "answered", r.finish.Coverage.ShardsAnswered,
		"missing", r.finish.Coverage.Missing[:min(len(r.finish.Coverage.Missing), listed)], "sent", stats.Sent, "hedges", stats.Hedges,
		"hedgesDenied", stats.HedgesDenied, "retries", stats.Retries, "retriesDenied", stats.RetriesDenied,
		"attempts", r.trail[:min(len(r.trail), listed)], "attemptsNotListed", max(0, len(r.trail)-listed),
		"skippedLines", skipped)
}
