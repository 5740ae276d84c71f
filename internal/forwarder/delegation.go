package forwarder

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/delegator"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/scatterer"
	"github.com/yuccarock/yuccarock/internal/tracer"
)

const (
	// silenceMargin is how much later than expected half of the results may arrive before the host is avoided.
	silenceMargin = 10 * time.Millisecond
	// defaultCollectTime is how long answers are held back if no hedge is due.
	defaultCollectTime = 10 * time.Millisecond
)

// delegation is a set of attempts that another host makes for a session.
type delegation struct {
	session  *session
	host     netip.AddrPort
	overhead time.Duration // expected to be added to the exchanges with the servers
	attempts []delegatedAttempt
	sent     time.Time
	cancel   context.CancelFunc
	silence  *time.Timer
	missing  atomic.Int64 // attempts without a result
	wanted   atomic.Int64 // attempts without a result that have not been cancelled
	answered bool         // whether any results have arrived; used by the goroutine that sends the delegation only
	failed   atomic.Bool  // whether the host was avoided because of it
}

// delegatedAttempt is one attempt of a delegation.
type delegatedAttempt struct {
	sub  *broker.SubRequest
	to   receiver
	done bool // whether the host has sent a result; used by the goroutine that sends the delegation only
	// ctx ends when the attempt is cancelled; settle is called when it is cancelled or has a result.
	ctx    context.Context
	settle func()
}

// startAttempts makes attempts, first attempts at servers in another zone through a host there if there are enough.
func (s *session) startAttempts(ctx context.Context, sends []scatterer.Send) {
	delegated := make([]bool, len(sends))
	if s.route.Scatter() && len(sends) > 1 {
		subRequests := make([]delegator.SubRequest, len(sends))
		for i, send := range sends {
			if to, ok := s.receiver(send.Sub.Server); ok {
				subRequests[i] = delegator.SubRequest{Zone: to.instance.Zone, First: send.Sub.Attempt == 1}
			}
		}
		for _, group := range s.forwarder.delegates.Plan(subRequests, time.Now()) {
			for _, i := range group.Members {
				delegated[i] = true
			}
			s.delegate(ctx, group, sends)
		}
	}
	for i, send := range sends {
		if !delegated[i] {
			s.startAttempt(ctx, send.Sub)
		}
	}
}

// delegate starts the attempts of a group at its host.
func (s *session) delegate(ctx context.Context, group delegator.Group, sends []scatterer.Send) {
	d := &delegation{session: s, host: group.Host, overhead: group.Overhead, sent: time.Now()}
	// The attempts may outlive the caller's request by their grace.
	ctx = context.WithoutCancel(ctx)
	delegationCtx, cancel := context.WithDeadline(ctx, s.deadline)
	d.cancel = cancel
	var hedgeAfter time.Duration // of the first hedge
	for _, i := range group.Members {
		if after := sends[i].HedgeAfter; hedgeAfter == 0 || after > 0 && after < hedgeAfter {
			hedgeAfter = after
		}
		d.add(ctx, sends[i].Sub)
	}
	message := d.message()
	message.TraceParent = tracer.TraceParent(ctx)
	message.CollectFor = delegator.CollectTime(hedgeAfter, d.overhead, defaultCollectTime)
	d.silence = time.AfterFunc(message.CollectFor+d.overhead+silenceMargin, func() {
		if d.mostlyMissing() {
			d.fail()
		}
	})
	s.lease.Retain()
	go func() {
		defer s.lease.Release()
		defer cancel()
		d.run(delegationCtx, message)
	}()
}

// add adds an attempt before the delegation is sent.
func (d *delegation) add(ctx context.Context, sub *broker.SubRequest) {
	to, _ := d.session.forwarder.receiver(d.session.view, sub.Server)
	to.server.ExchangeStarted(d.sent)
	attemptCtx, cancelAttempt := context.WithCancel(ctx)
	settle := sync.OnceFunc(func() {
		// Without a wanted result, the host need not go on with those that are missing.
		if d.wanted.Add(-1) == 0 && d.missing.Load() > 0 {
			d.cancel()
		}
	})
	d.session.cancels[attemptKey{shard: sub.Shard, attempt: sub.Attempt}] = func() {
		cancelAttempt()
		settle()
	}
	d.attempts = append(d.attempts, delegatedAttempt{sub: sub, to: to, ctx: attemptCtx, settle: settle})
	d.missing.Add(1)
	d.wanted.Add(1)
}

// message returns the message to the host.
func (d *delegation) message() *broker.Delegation {
	request := d.session.request
	message := &broker.Delegation{
		RequestID: request.ID, Method: request.Method, Target: request.Target, Host: request.Host, Header: request.Header,
		Body: request.Body, Remaining: d.session.deadline.Sub(d.sent), TopRecords: d.session.route.TopRecords,
	}
	for i := range d.attempts {
		message.Servers = append(message.Servers, d.attempts[i].sub.Server)
	}
	return message
}

// run sends the delegation and passes its results on. If the host has not run any of it, this host makes the attempts.
func (d *delegation) run(ctx context.Context, message *broker.Delegation) {
	f := d.session.forwarder
	sent, err := f.messenger.Send(ctx, d.host, message, d.deliver)
	d.silence.Stop()
	if err == nil {
		f.delegates.Completed(d.host)
		return
	}
	cancelled := ctx.Err() != nil
	if !cancelled || d.mostlyMissing() {
		d.fail()
		d.logFailure(sent, err)
	}
	var results []attemptResult
	for i := range d.attempts {
		a := &d.attempts[i]
		switch {
		case a.done:
			continue
		case !sent && !cancelled:
			a.to.server.ExchangeDiscarded(d.sent)
			d.startDirectly(a)
			continue
		case d.answered && cancelled:
			// A host that passed on other results reached this server too, or would have reported that it could not.
			a.to.server.ExchangeEnded(d.sent, time.Now(), true)
		default:
			a.to.server.ExchangeDiscarded(d.sent)
		}
		failed := attemptResult{answer: scatterer.NotSent(a.sub), sent: d.sent}
		failed.answer.Outcome, failed.answer.Reason = broker.OutcomeUnknown, broker.ReasonUnreachable
		results = append(results, failed)
	}
	if len(results) > 0 {
		d.session.inbox <- arrival{results: results}
	}
}

// fail avoids the host, which counts once for each delegation: a silent one is noticed early and ends later.
func (d *delegation) fail() {
	if d.failed.CompareAndSwap(false, true) {
		d.session.forwarder.delegates.Failed(d.host, time.Now())
	}
}

// startDirectly starts an attempt of the delegation at this host.
func (d *delegation) startDirectly(a *delegatedAttempt) {
	d.session.lease.Retain()
	go func() {
		defer d.session.lease.Release()
		d.attemptDirectly(a)
	}()
}

// attemptDirectly makes one attempt of the delegation by an exchange of this host.
func (d *delegation) attemptDirectly(a *delegatedAttempt) {
	ctx, cancel := context.WithDeadline(a.ctx, d.session.deadline)
	defer cancel()
	d.session.inbox <- arrival{results: []attemptResult{d.session.attempt(ctx, a.sub, a.to)}}
}

// deliver passes results of the host on to the session.
func (d *delegation) deliver(results *broker.PartResults) {
	now := time.Now()
	overhead := max(now.Sub(d.sent)-results.Elapsed, 0)
	if !d.answered {
		d.answered = true
		d.session.forwarder.delegates.Answered(d.host, overhead, now)
	}
	arrived := arrival{results: make([]attemptResult, 0, len(results.Parts))}
	merged := &mergedParts{records: results.Records}
	for i := range results.Parts {
		part := &results.Parts[i]
		a := &d.attempts[part.Position]
		a.done = true
		d.missing.Add(-1)
		a.settle()
		if part.Outcome == broker.OutcomeNotRun && part.Reason == broker.ReasonNoReplica {
			// The host does not know the server.
			a.to.server.ExchangeDiscarded(d.sent)
			d.startDirectly(a)
			continue
		}
		arrived.results = append(arrived.results, d.evaluate(a, part, part.Latency+overhead))
		if part.Outcome == broker.OutcomeAnswered {
			merged.shards = append(merged.shards, a.sub.Shard)
			merged.signatures = append(merged.signatures, part.Signature)
		}
	}
	if len(merged.shards) > 0 {
		arrived.merged = merged
	}
	if len(arrived.results) > 0 {
		d.session.inbox <- arrived
	}
}

// evaluate records the result of one attempt for its server and returns it for the session.
func (d *delegation) evaluate(a *delegatedAttempt, part *broker.PartResult, latency time.Duration) attemptResult {
	answered := part.Outcome == broker.OutcomeAnswered
	if part.Reason == broker.ReasonMoved {
		a.to.server.MarkReassigned(a.to.instance.Address)
	}
	if part.Notice != nil {
		d.session.forwarder.notices.report(a.to, *part.Notice, d.sent)
	}
	a.to.server.ExchangeEnded(d.sent, d.sent.Add(latency), !answered)
	d.session.recordForQuarantine(a.sub, part.Sent,
		broker.Classification{Outcome: part.Outcome, Reason: part.Reason}, part.Outages)
	ended := attemptResult{answer: scatterer.NotSent(a.sub), sent: d.sent}
	ended.answer.Outcome, ended.answer.Reason, ended.answer.Latency = part.Outcome, part.Reason, latency
	if answered {
		ended.opaque = &broker.OpaqueAnswer{Signature: part.Signature}
	}
	return ended
}

// mostlyMissing reports whether more than half of the results are missing. Pauses and failures of servers delay fewer.
func (d *delegation) mostlyMissing() bool { return 2*d.missing.Load() > int64(len(d.attempts)) }

func (d *delegation) logFailure(sent bool, err error) {
	f := d.session.forwarder
	if skipped, ok := f.requestLogLimiter.Allow(time.Now()); ok {
		f.logger.Warn("delegation failed", "id", d.session.request.ID, "host", d.host, "sent", sent,
			"subRequests", len(d.attempts), "missing", d.missing.Load(), "error", err, "skippedLines", skipped)
	}
}
