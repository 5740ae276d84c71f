package forwarder

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/delegator"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/scatterer"
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
	group    delegator.Group
	subs     []*broker.SubRequest
	to       []receiver
	sent     time.Time
	answered bool // whether any results have arrived; used by the goroutine that sends the delegation only
	done     []bool
	missing  atomic.Int64 // sub-requests without a result
	silence  *time.Timer
}

// startAttempts makes attempts, first attempts at servers in another zone through a host there if there are enough.
func (s *session) startAttempts(ctx context.Context, sends []scatterer.Send) {
	delegated := make([]bool, len(sends))
	if s.route.Scatter() && len(sends) > 1 {
		zones := make([]string, len(sends))
		for i, send := range sends {
			zones[i] = s.forwarder.settings.Zone
			// Only the first attempt at a shard is delegated, so that each shard is in at most one delegation.
			if to, ok := s.forwarder.receiver(s.view, send.Sub.Server); ok && send.Sub.Attempt == 1 {
				zones[i] = to.instance.Zone
			}
		}
		for _, group := range s.forwarder.delegates.Plan(zones, time.Now()) {
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
	d := &delegation{session: s, group: group, done: make([]bool, len(group.Members)), sent: time.Now()}
	message := &broker.Delegation{
		RequestID: s.request.ID, Method: s.request.Method, Target: s.request.Target, Host: s.request.Host,
		Header: s.request.Header, Body: s.request.Body, Remaining: s.deadline.Sub(d.sent), TopRecords: s.route.TopRecords,
	}
	var hedgeAfter time.Duration
	for _, i := range group.Members {
		send := sends[i]
		to, _ := s.forwarder.receiver(s.view, send.Sub.Server)
		to.server.ExchangeStarted(d.sent)
		d.subs, d.to = append(d.subs, send.Sub), append(d.to, to)
		message.Servers = append(message.Servers, send.Sub.Server)
		if hedgeAfter == 0 || send.HedgeAfter > 0 && send.HedgeAfter < hedgeAfter {
			hedgeAfter = send.HedgeAfter
		}
	}
	message.CollectFor = delegator.CollectTime(hedgeAfter, group.Overhead, defaultCollectTime)
	// The attempts may outlive the caller's request by their grace; the last one to be cancelled ends the delegation.
	delegationCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), s.deadline)
	var open atomic.Int64
	open.Store(int64(len(d.subs)))
	for _, sub := range d.subs {
		s.cancels[attemptKey{shard: sub.Shard, attempt: sub.Attempt}] = sync.OnceFunc(func() {
			if open.Add(-1) == 0 {
				cancel()
			}
		})
	}
	d.missing.Store(int64(len(d.subs)))
	d.silence = time.AfterFunc(message.CollectFor+group.Overhead+silenceMargin, func() {
		if d.mostlyMissing() {
			s.forwarder.delegates.Failed(group.Host, time.Now())
		}
	})
	go func() {
		defer cancel()
		d.run(delegationCtx, message)
	}()
}

// run sends the delegation and passes its results on. If the host has not run any of it, this host makes the attempts.
func (d *delegation) run(ctx context.Context, message *broker.Delegation) {
	f := d.session.forwarder
	sent, err := f.messenger.Send(ctx, d.group.Host, message, d.deliver)
	d.silence.Stop()
	if err == nil {
		f.delegates.Completed(d.group.Host)
		return
	}
	if ctx.Err() == nil || d.mostlyMissing() {
		f.delegates.Failed(d.group.Host, time.Now())
		f.logFailedDelegation(d, sent, err)
	}
	var results []attemptResult
	for position, sub := range d.subs {
		if d.done[position] {
			continue
		}
		// A host that passed on other results reached this server too, or would have reported that it could not.
		if d.answered && ctx.Err() != nil {
			d.to[position].server.ExchangeEnded(d.sent, time.Now(), true)
		} else {
			d.to[position].server.ExchangeDiscarded(d.sent)
		}
		if !sent && ctx.Err() == nil {
			go d.attemptDirectly(ctx, position)
			continue
		}
		failed := attemptResult{answer: scatterer.NotSent(sub), sent: d.sent}
		failed.answer.Outcome, failed.answer.Reason = broker.OutcomeUnknown, broker.ReasonUnreachable
		results = append(results, failed)
	}
	if len(results) > 0 {
		d.session.inbox <- arrival{results: results}
	}
}

// attemptDirectly makes one attempt of the delegation by an exchange of this host.
func (d *delegation) attemptDirectly(ctx context.Context, position int) {
	attemptCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), d.session.deadline)
	defer cancel()
	d.session.inbox <- arrival{results: []attemptResult{d.session.attempt(attemptCtx, d.subs[position], d.to[position])}}
}

// deliver passes results of the host on to the session.
func (d *delegation) deliver(results *broker.PartResults) {
	f := d.session.forwarder
	now := time.Now()
	overhead := max(now.Sub(d.sent)-results.Elapsed, 0)
	if !d.answered {
		d.answered = true
		f.delegates.Answered(d.group.Host, overhead, now)
	}
	arrived := arrival{results: make([]attemptResult, 0, len(results.Parts))}
	merged := &mergedParts{records: results.Records}
	for i := range results.Parts {
		part := &results.Parts[i]
		sub, to := d.subs[part.Position], d.to[part.Position]
		d.done[part.Position] = true
		d.missing.Add(-1)
		if part.Outcome == broker.OutcomeNotRun && part.Reason == broker.ReasonNoReplica {
			// The host does not know the server.
			to.server.ExchangeDiscarded(d.sent)
			go d.attemptDirectly(context.Background(), part.Position)
			continue
		}
		if part.Reason == broker.ReasonMoved {
			to.server.MarkReassigned(to.instance.Address)
		}
		ended := attemptResult{answer: scatterer.NotSent(sub), sent: d.sent}
		ended.answer.Outcome, ended.answer.Reason = part.Outcome, part.Reason
		ended.answer.Latency = part.Latency + overhead
		to.server.ExchangeEnded(d.sent, d.sent.Add(ended.answer.Latency), part.Outcome != broker.OutcomeAnswered)
		if part.Outcome == broker.OutcomeAnswered {
			ended.opaque = &broker.OpaqueAnswer{Signature: part.Signature}
			merged.shards = append(merged.shards, sub.Shard)
			merged.signatures = append(merged.signatures, part.Signature)
		}
		d.session.recordForQuarantine(sub, part.Sent, part.Outcome == broker.OutcomeAnswered, part.Reason)
		arrived.results = append(arrived.results, ended)
	}
	if len(merged.shards) > 0 {
		arrived.merged = merged
	}
	if len(arrived.results) > 0 {
		d.session.inbox <- arrived
	}
}

// mostlyMissing reports whether more than half of the results are missing. Pauses and failures of servers delay fewer.
func (d *delegation) mostlyMissing() bool { return 2*d.missing.Load() > int64(len(d.subs)) }

func (f *Forwarder) logFailedDelegation(d *delegation, sent bool, err error) {
	if skipped, ok := f.requestLogLimiter.Allow(time.Now()); ok {
		f.logger.Warn("delegation failed", "id", d.session.request.ID, "host", d.group.Host, "sent", sent,
			"subRequests", len(d.done), "missing", d.missing.Load(), "error", err, "skippedLines", skipped)
	}
}
