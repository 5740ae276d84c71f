package forwarder

import (
	"context"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/scatterer"
	"github.com/yuccarock/yuccarock/internal/broker/state/registrar"
	"github.com/yuccarock/yuccarock/internal/broker/state/tracker"
)

// receiver is the backend server that an attempt is sent to.
type receiver struct {
	instance *registrar.Instance
	server   *tracker.Server
}

// receiver returns the server with the given name, or false if it is not registered in view.
func (f *Forwarder) receiver(view *registrar.View, name broker.ServerName) (receiver, bool) {
	to := receiver{instance: view.Instances[name], server: f.tracker.Server(name)}
	return to, to.instance != nil && to.server != nil
}

// receiver returns the server with the given name, or false if it is not registered or leaving by now.
func (s *session) receiver(name broker.ServerName) (receiver, bool) {
	view := s.forwarder.registrar.View()
	to, ok := s.forwarder.receiver(view, name)
	return to, ok && withheldReason(view, name) == broker.ReasonNone
}

// withheld reports whether a server gets no new requests by the current view, which is newer than that of the request.
func (s *session) withheld(name broker.ServerName) bool {
	return withheldReason(s.forwarder.registrar.View(), name) != broker.ReasonNone
}

// refusal returns why no request may be sent to a server any more, by the current view and what the server has stated, or
// ReasonNone if one may.
func (f *Forwarder) refusal(to receiver) broker.Reason {
	if reason := withheldReason(f.registrar.View(), to.instance.Name()); reason != broker.ReasonNone {
		return reason
	}
	reason, _ := to.server.Refusal(time.Now())
	return reason
}

// withheldReason returns why a view gives a server no new requests, or ReasonNone.
func withheldReason(view *registrar.View, name broker.ServerName) broker.Reason {
	instance, table := view.Instances[name], view.Tracked.Table
	switch {
	case instance == nil || instance.Draining:
		return broker.ReasonDraining
	case table.ZoneOut(instance.Zone):
		return broker.ReasonZoneOut
	default:
		return broker.ReasonNone
	}
}

// exchangeResult is the result of one exchange with a backend server.
type exchangeResult struct {
	broker.Classification
	answer  *broker.OpaqueAnswer // nil if no complete answer was received
	sent    bool                 // whether any byte of the request may have reached the server
	latency time.Duration
	outages int                  // of the server before the request, if its connection was lost
	notice  *broker.ServerNotice // nil if the server did not answer
}

// exchange sends a request to a server and records the outcome for it. A part of a scatter that is not a success counts
// as a failure.
func (f *Forwarder) exchange(
	ctx context.Context, request *broker.OpaqueRequest, sub *broker.SubRequest, to receiver, deadline time.Time, part bool,
) exchangeResult {
	if trace.SpanFromContext(ctx).IsRecording() {
		spanCtx, span := f.tracer.Start(ctx, "entry.attempt", attribute.String("shard", string(sub.Shard)),
			attribute.String("server", string(sub.Server)), attribute.Int("attempt", int(sub.Attempt)))
		defer span.End()
		ctx = spanCtx
	}
	sent := time.Now()
	to.server.ExchangeStarted(sent)
	reply := f.dispatcher.Exchange(ctx, sub.Server, &broker.ServerRequest{
		Method: request.Method,
		Head:   func() []byte { return f.codec.Head(nil, request, to.instance.ID, time.Until(deadline)) },
		Body:   request.Body,
		Reuse:  func(header http.Header) bool { return f.codec.Matches(request, header) },
		// The request may wait for a connection for seconds, in which the server leaves.
		Refusal: func() broker.Reason { return f.refusal(to) },
		Changed: f.registrar.Changed,
	})
	now := time.Now()
	if to.instance.Zone != f.settings.Zone {
		f.meters.crossZone(sub.Attempt, reply.BytesSent, reply.BytesReceived)
	}
	result := exchangeResult{answer: reply.Answer, sent: reply.Sent, latency: now.Sub(sent), outages: reply.Outages}
	if reply.Answer == nil {
		result.Outcome, result.Reason = broker.OutcomeUnknown, reply.Reason
		if !reply.Sent {
			result.Outcome = broker.OutcomeNotRun
		}
		if !reply.Sent && reply.Reason.Withheld() || ctx.Err() != nil && result.latency < callerGoneGrace {
			to.server.ExchangeDiscarded(sent)
		} else {
			to.server.ExchangeEnded(sent, now, true)
		}
		return result
	}
	result.Classification = f.codec.Classify(request, reply.Answer)
	if part && result.Outcome == broker.OutcomeAnswered && reply.Answer.Status/100 != 2 {
		result.Classification = broker.Classification{Outcome: broker.OutcomeFailed, Reason: broker.ReasonBackendError}
	}
	if result.Outcome == broker.OutcomeFailed {
		f.meters.serverFailed(reply.Answer.Status)
	}
	if result.Reason != broker.ReasonMoved && result.Reason != broker.ReasonMismatch {
		result.notice = f.readNotice(to, reply.Answer, sent)
	}
	if result.Reason == broker.ReasonMoved {
		to.server.MarkReassigned(to.instance.Address)
	}
	to.server.ExchangeEnded(sent, now, result.Outcome != broker.OutcomeAnswered)
	return result
}

// readNotice records what the server states in its answer to a request that was sent at sentAt.
func (f *Forwarder) readNotice(to receiver, answer *broker.OpaqueAnswer, sentAt time.Time) *broker.ServerNotice {
	notice, err := f.codec.Notice(answer)
	if err != nil {
		f.notices.reportMalformed(to, err)
	}
	f.notices.report(to, notice, sentAt)
	return &notice
}

func (s *session) startAttempt(ctx context.Context, sub *broker.SubRequest) {
	to, ok := s.receiver(sub.Server)
	if !ok {
		s.inbox <- arrival{results: []attemptResult{{answer: scatterer.NotSent(sub)}}}
		return
	}
	// The attempt may outlive the caller's request by its grace.
	attemptCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), s.deadline)
	s.cancels[attemptKey{shard: sub.Shard, attempt: sub.Attempt}] = cancel
	s.lease.Retain()
	go func() {
		defer s.lease.Release()
		defer cancel()
		s.inbox <- arrival{results: []attemptResult{s.attempt(attemptCtx, sub, to)}}
	}()
}

// attempt makes one attempt by an exchange of this host.
func (s *session) attempt(ctx context.Context, sub *broker.SubRequest, to receiver) attemptResult {
	sent := time.Now()
	result := s.forwarder.exchange(ctx, s.request, sub, to, s.deadline, s.route.Scatter())
	s.recordForQuarantine(sub, result.sent, result.Classification, result.outages)
	ended := attemptResult{answer: scatterer.NotSent(sub), opaque: result.answer, sent: sent}
	ended.answer.Outcome, ended.answer.Reason = result.Outcome, result.Reason
	return ended
}

// recordForQuarantine records whether a server survived the request. A refusal, a failure or an answer to another
// request does not show that the server ran it.
func (s *session) recordForQuarantine(sub *broker.SubRequest, sent bool, result broker.Classification, outages int) {
	quarantine := s.forwarder.quarantine
	switch {
	case result.Outcome == broker.OutcomeAnswered:
		s.answered.Store(true)
		quarantine.recordSurvival(s.request, sub)
	case sent && result.Reason == broker.ReasonLost:
		quarantine.recordCrash(s.request, sub, outages, s.answered.Load())
	}
}
