package forwarder

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/collator"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/delegator"
	"github.com/yuccarock/yuccarock/internal/broker/state/registrar"
	"github.com/yuccarock/yuccarock/internal/broker/transport/limiter"
	"github.com/yuccarock/yuccarock/internal/tracer"
)

// runDelegation makes the attempts of another host's scatter at servers near this host.
func (f *Forwarder) runDelegation(
	ctx context.Context, message *broker.Delegation, deliver func(results *broker.PartResults, last bool),
) error {
	view := f.registrar.View()
	if view == nil || len(message.Servers) == 0 || !f.drainer.Begin() {
		return &Error{Op: "run a delegation", Kind: KindNotReady, Err: errors.New("the host is " + f.drainer.State())}
	}
	defer f.drainer.End()
	lease, err := limiter.Lease(ctx, len(message.Servers), 0)
	if err != nil {
		return &Error{Op: "run a delegation", Kind: KindNotReady, Err: err}
	}
	defer lease.Release()
	ctx, span := f.tracer.Start(tracer.WithTraceParent(ctx, message.TraceParent), "delegate.request",
		attribute.Int("attempts", len(message.Servers)))
	defer span.End()
	arrivedAt := time.Now()
	f.work.arrived()
	deadline := message.ReceivedAt.Add(message.Remaining)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	request := &broker.OpaqueRequest{
		ID: message.RequestID, Method: message.Method, Target: message.Target, Host: message.Host,
		Header: message.Header, Body: message.Body,
	}
	parts := make(chan delegatedPart, len(message.Servers))
	for position, name := range message.Servers {
		go func() { parts <- f.runPart(ctx, request, view, position, name, deadline) }()
	}
	collector := delegator.NewCollector(len(message.Servers), arrivedAt.Add(message.CollectFor))
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	collected := collectedParts{limit: message.TopRecords}
	for !collector.Done() || len(collected.parts) > 0 {
		select {
		case part := <-parts:
			collected.add(part)
			timer.Reset(time.Until(collector.Add(time.Now(), part.Outcome == broker.OutcomeAnswered)))
		case <-timer.C:
			if len(collected.parts) > 0 {
				deliver(collected.take(time.Since(arrivedAt)), collector.Done())
				collector.Sent()
			}
		}
	}
	return nil
}

// delegatedPart is the result of one sub-request with the records of an answered part.
type delegatedPart struct {
	broker.PartResult
	records []byte
}

// runPart makes one attempt of a delegation. An attempt at a server that this host would not use is not made.
func (f *Forwarder) runPart(
	ctx context.Context, request *broker.OpaqueRequest, view *registrar.View, position int, name broker.ServerName,
	deadline time.Time,
) delegatedPart {
	part := delegatedPart{PartResult: broker.PartResult{
		Position: position, Outcome: broker.OutcomeNotRun, Reason: broker.ReasonNoReplica,
	}}
	to, ok := f.receiver(view, name)
	if !ok || !view.Tracked.Table.ServesNewWork(view.Tracked.Table.Server(name)) {
		return part
	}
	if reason, notice := to.server.Refusal(time.Now()); reason != broker.ReasonNone {
		part.Reason, part.Notice = reason, &notice
		return part
	}
	sub := &broker.SubRequest{RequestID: request.ID, Shard: broker.ShardName(to.instance.Service), Server: name, Attempt: 1}
	result := f.exchange(ctx, request, sub, to, deadline, true)
	part.Outcome, part.Reason, part.Sent, part.Latency = result.Outcome, result.Reason, result.sent, result.latency
	part.Outages, part.Notice = result.outages, result.notice
	if result.Outcome == broker.OutcomeAnswered {
		part.Signature, part.records = result.answer.Signature, result.answer.Body
	}
	return part
}

// collectedParts are results of a delegation that have not been sent yet.
type collectedParts struct {
	limit   int // maximum number of merged records
	parts   []broker.PartResult
	records [][]byte
}

func (c *collectedParts) add(part delegatedPart) {
	c.parts = append(c.parts, part.PartResult)
	if part.Outcome == broker.OutcomeAnswered {
		c.records = append(c.records, part.records)
	}
}

// take returns the results as one message and removes them.
func (c *collectedParts) take(elapsed time.Duration) *broker.PartResults {
	results := &broker.PartResults{Parts: c.parts, Records: collator.Top(c.records, c.limit), Elapsed: elapsed}
	c.parts, c.records = nil, nil
	return results
}
