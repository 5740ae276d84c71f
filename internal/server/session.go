package server

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/quarantiner"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/scatterer"
	"github.com/yuccarock/yuccarock/internal/broker/state/tracker"
	"github.com/yuccarock/yuccarock/internal/tracer"
)

// inboxPerShard leaves room for the answers of a first attempt, a hedge, a retry and a whole re-run.
const inboxPerShard = 6

// attemptKey names an attempt within one session.
type attemptKey struct {
	shard   broker.ShardName
	attempt uint32
}

// session carries out the actions of one scatterer session.
type session struct {
	server  *Server
	core    *scatterer.Session
	inbox   inbox
	timer   *time.Timer
	ctx     context.Context
	spans   map[attemptKey]trace.Span // nil unless the query is sampled
	answer  *broker.Answer
	pending []broker.SubAnswer // answers known at once, because nothing could be sent
}

// run sends one query to the shards of its service and returns the merged answer.
func (s *Server) run(
	ctx context.Context, query broker.Query, view *tracker.View, deadline time.Time,
) (broker.Answer, error) {
	requestID := query.RequestID
	kind := view.Table.Kind(query.Kind)
	if kind.Idempotent {
		// Sub-requests carry an ID of this session, so that a query which the caller sent twice at the same time
		// cannot receive the answers of the other. A claimed request ID is in use once only.
		query.RequestID = requestID + "." + s.name + "." + strconv.FormatUint(s.sequence.Add(1), 36)
	}
	fingerprint := fingerprintOf(&query)
	core, err := scatterer.New(
		scatterer.Dependencies{
			View:    view,
			Budgets: s.budgets.Kind(query.Kind),
			Random:  rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		},
		scatterer.Request{
			Query: query, Fingerprint: fingerprint, Seen: s.seen.Has(fingerprint),
			Suspect:     s.quarantine.State(fingerprint, time.Now()) != quarantiner.Clear,
			TraceParent: tracer.TraceParent(ctx), Deadline: deadline,
		},
		time.Now(),
	)
	if err != nil {
		return broker.Answer{}, &broker.Error{Op: "plan the query", Kind: broker.KindInvalid, Err: errors.WithStack(err)}
	}
	shards := len(view.Service(kind.Service).Shards)
	run := &session{
		server: s, core: core, ctx: ctx,
		inbox: make(inbox, inboxPerShard*shards),
		timer: time.NewTimer(time.Until(deadline)),
	}
	defer run.timer.Stop()
	if trace.SpanFromContext(ctx).IsRecording() {
		run.spans = make(map[attemptKey]trace.Span)
	}
	s.pending.add(query.RequestID, run.inbox)
	run.loop()
	s.pending.remove(query.RequestID)
	run.endSpans()
	s.meters.session(core.Stats())
	answer := *run.answer
	answer.RequestID = requestID
	if answer.Status == broker.StatusComplete || answer.Status == broker.StatusPartial {
		s.seen.Add(fingerprint)
	}
	return answer, nil
}

// loop ends with the answer: the core's timer at the deadline finishes the query at the latest.
func (r *session) loop() {
	r.apply(r.core.Start(time.Now()))
	for r.answer == nil {
		if len(r.pending) > 0 {
			next := r.pending[0]
			r.pending = r.pending[1:]
			r.apply(r.core.Answer(time.Now(), &next))
			continue
		}
		select {
		case e := <-r.inbox:
			if e.answer == nil {
				r.apply(r.core.LinkDown(time.Now(), e.down))
				continue
			}
			r.endSpan(e.answer)
			r.apply(r.core.Answer(time.Now(), e.answer))
		case <-r.timer.C:
			r.apply(r.core.Wake(time.Now()))
		case <-r.ctx.Done():
			if errors.Is(r.ctx.Err(), context.DeadlineExceeded) {
				r.apply(r.core.Wake(time.Now()))
			}
			if r.answer == nil {
				r.apply(r.core.Abandon(time.Now()))
			}
		}
	}
}

func (r *session) apply(actions scatterer.Actions) {
	if actions.Finish != nil {
		r.answer = actions.Finish
	}
	for _, cancel := range actions.Cancels {
		r.cancel(cancel)
	}
	for _, send := range actions.Sends {
		r.send(send)
	}
	if !actions.WakeAt.IsZero() {
		r.timer.Reset(time.Until(actions.WakeAt))
	}
}

func (r *session) send(action scatterer.Send) {
	sub := *action.Sub
	if r.spans != nil {
		ctx, span := r.server.tracer.Start(r.ctx, "entry.subRequest",
			attribute.String("shard", string(sub.Shard)), attribute.String("server", string(sub.Server)),
			attribute.Int("attempt", int(sub.Attempt)))
		r.spans[attemptKey{shard: sub.Shard, attempt: sub.Attempt}] = span
		sub.TraceParent = tracer.TraceParent(ctx)
	}
	if action.Owner == r.server.ID() {
		box := r.inbox
		r.server.submit(sub, func(answer broker.SubAnswer) { box.deliver(event{answer: &answer}) })
		return
	}
	if err := r.server.Send(action.Owner, broker.Message{SubRequest: &sub}); err != nil {
		r.pending = append(r.pending, scatterer.NotSent(&sub))
	}
}

func (r *session) cancel(action scatterer.Cancel) {
	c := *action.Cancel
	if action.Owner == r.server.ID() {
		r.server.owner.Cancel(c.RequestID, c.Shard, c.Attempt)
		return
	}
	// The deadline bounds the work of an attempt whose cancellation is lost.
	_ = r.server.Send(action.Owner, broker.Message{Cancel: &c})
}

func (r *session) endSpan(answer *broker.SubAnswer) {
	key := attemptKey{shard: answer.Shard, attempt: answer.Attempt}
	if span := r.spans[key]; span != nil {
		span.SetAttributes(attribute.String("outcome", answer.Outcome.String()),
			attribute.String("reason", string(answer.Reason)))
		span.End()
		delete(r.spans, key)
	}
}

func (r *session) endSpans() {
	for _, span := range r.spans {
		span.SetAttributes(attribute.String("outcome", "abandoned"))
		span.End()
	}
}
