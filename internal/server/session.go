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

// inboxSizePerShard fits the answers of a first attempt, a hedge, a retry and a complete rerun.
const inboxSizePerShard = 6

// attemptKey identifies an attempt within a session.
type attemptKey struct {
	shard   broker.ShardName
	attempt uint32
}

// session executes the actions of one scatterer session and passes it the events.
type session struct {
	server *Server
	core   *scatterer.Session
	inbox  inbox
	timer  *time.Timer
	ctx    context.Context
	spans  map[attemptKey]trace.Span // nil unless the query is sampled
	answer *broker.Answer
	unsent []broker.SubAnswer // answers to sub-requests that could not be sent
}

// scatter sends a query to the shards of its service and returns the merged answer.
func (s *Server) scatter(
	ctx context.Context, query broker.Query, view *tracker.View, deadline time.Time,
) (broker.Answer, error) {
	requestID := query.RequestID
	kind := view.Table.Kind(query.Kind)
	if kind.Idempotent {
		// Sub-requests get a request ID of their own, so that of two concurrent queries with the same request ID neither
		// receives the answers of the other. A claimed request ID cannot be in use twice.
		query.RequestID = requestID + "." + s.name + "." + strconv.FormatUint(s.sequence.Add(1), 36)
	}
	fingerprint := fingerprintOf(&query)
	quarantine := s.quarantine.State(fingerprint, time.Now())
	core, err := scatterer.New(
		scatterer.Dependencies{
			View:    view,
			Budgets: s.budgets.Kind(query.Kind),
			Random:  rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		},
		scatterer.Request{
			Query: query, Fingerprint: fingerprint, Seen: s.seenFingerprints.Has(fingerprint),
			Suspect: quarantine != quarantiner.Clear, Quarantined: quarantine == quarantiner.Quarantined,
			TraceParent: tracer.TraceParent(ctx), Deadline: deadline,
		},
		time.Now(),
	)
	if err != nil {
		return broker.Answer{}, &broker.Error{Op: "plan the query", Kind: broker.KindInvalid, Err: errors.WithStack(err)}
	}
	shards := len(view.Service(kind.Service).Shards)
	active := &session{
		server: s, core: core, ctx: ctx,
		inbox: make(inbox, inboxSizePerShard*shards),
		timer: time.NewTimer(time.Until(deadline)),
	}
	defer active.timer.Stop()
	if trace.SpanFromContext(ctx).IsRecording() {
		active.spans = make(map[attemptKey]trace.Span)
	}
	s.sessions.add(query.RequestID, active.inbox)
	active.loop()
	s.sessions.remove(query.RequestID)
	active.endSpans()
	s.counters.addSession(core.Stats())
	answer := *active.answer
	answer.RequestID = requestID
	if answer.Status == broker.StatusComplete || answer.Status == broker.StatusPartial {
		s.seenFingerprints.Add(fingerprint)
	}
	return answer, nil
}

// loop runs until the query is answered, at the latest when the timer fires at the deadline.
func (r *session) loop() {
	r.apply(r.core.Start(time.Now()))
	for r.answer == nil {
		if len(r.unsent) > 0 {
			next := r.unsent[0]
			r.unsent = r.unsent[1:]
			r.apply(r.core.Answer(time.Now(), &next))
			continue
		}
		select {
		case event := <-r.inbox:
			if event.answer == nil {
				r.apply(r.core.LinkDown(time.Now(), event.linkDown))
				continue
			}
			r.endSpan(event.answer)
			r.apply(r.core.Answer(time.Now(), event.answer))
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
		events := r.inbox
		r.server.submit(sub, func(answer broker.SubAnswer) { events.deliver(sessionEvent{answer: &answer}) })
		return
	}
	if err := r.server.Send(action.Owner, broker.Message{SubRequest: &sub}); err != nil {
		r.unsent = append(r.unsent, scatterer.NotSent(&sub))
	}
}

func (r *session) cancel(action scatterer.Cancel) {
	cancel := *action.Cancel
	if action.Owner == r.server.ID() {
		r.server.owner.Cancel(cancel.RequestID, cancel.Shard, cancel.Attempt)
		return
	}
	// If the cancellation is lost, the attempt ends at its deadline.
	_ = r.server.Send(action.Owner, broker.Message{Cancel: &cancel})
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
