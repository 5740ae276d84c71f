package owner

import (
	"context"
	"net/netip"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/admitter"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/quarantiner"
)

// trialDelay is how long the announcement of a trial is given to reach the other nodes. Two nodes that start a trial of
// the same suspect within the latency of their link both learn of it before either runs it; without the delay,
// simultaneous resends were seen to kill a third server.
const trialDelay = 50 * time.Millisecond

// run dispatches an admitted call and ends it.
func (s *server) run(c *call) {
	started := s.owner.clock.Now()
	switch standing := s.owner.quarantine.Try(c.sub.Fingerprint, s.name, started); standing {
	case quarantiner.Quarantined, quarantiner.OnTrial:
		s.refuseStanding(c, standing)
		return
	case quarantiner.Suspect:
		if !c.alone {
			s.requeue(c, started)
			return
		}
		if !s.claimTrial(c) {
			s.refuseStanding(c, s.owner.quarantine.Standing(c.sub.Fingerprint, s.owner.clock.Now()))
			return
		}
		started = s.owner.clock.Now()
	}
	if !s.permit() {
		s.finish(c, broker.BackendResult{Answer: refuse(&c.sub, broker.ReasonLeaseLapsed, 0)}, 0)
		return
	}
	ctx := c.ctx
	if c.stop == nil {
		limited, cancel := context.WithTimeout(ctx, c.deadline.Sub(started))
		defer cancel()
		ctx = limited
	}
	request := broker.BackendRequest{Sub: c.sub, Address: s.serverAddress(), Permit: s.permit}
	result := s.owner.backend.Send(ctx, request)
	if s.repeatable(c, &result) && ctx.Err() == nil {
		s.owner.counters.repeated.Inc()
		started = s.owner.clock.Now()
		request.Fresh = true
		result = s.owner.backend.Send(ctx, request)
		// The first try reached the server's host; no later refusal makes the attempt certain not to have run.
		if result.Answer.Outcome == broker.OutcomeNotRun {
			result.Answer.Outcome = broker.OutcomeUnknown
			result.BytesSent = true
		}
	}
	s.finish(c, result, s.owner.clock.Now().Sub(started))
}

// claimTrial announces the one more run of a suspect and returns whether this node holds it.
func (s *server) claimTrial(c *call) bool {
	c.trial = true
	s.report(broker.CrashReport{Fingerprint: c.sub.Fingerprint, Server: s.name, BootID: c.bootID, Trial: true})
	select {
	case <-time.After(trialDelay):
	case <-c.ctx.Done():
	}
	return s.owner.quarantine.Holds(c.sub.Fingerprint, s.name, s.owner.clock.Now())
}

func (s *server) refuseStanding(c *call, standing quarantiner.Standing) {
	s.owner.counters.quarantined.Inc()
	s.finish(c, broker.BackendResult{Answer: refuse(&c.sub, reasonOf(standing), 0)}, 0)
}

func (s *server) serverAddress() netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// requeue admits a call again, alone, because its fingerprint became a suspect while it was waiting.
func (s *server) requeue(c *call, now time.Time) {
	s.owner.quarantine.Abandon(c.sub.Fingerprint, s.name, 0, now)
	var e effects
	s.mu.Lock()
	ticket := c.ticket
	s.lastTicket++
	c.ticket, c.alone, c.dispatched = s.lastTicket, true, false
	delete(s.calls, ticket)
	s.calls[c.ticket] = c
	s.collect(&e, s.admitter.Finish(ticket, admitter.Result{Verdict: admitter.VerdictWithheld}, now))
	s.collect(&e, s.admitter.Submit(admitter.Request{
		Ticket: c.ticket, Kind: c.sub.Kind, Priority: c.sub.Priority, Deadline: c.deadline, Alone: true,
	}, now))
	s.mu.Unlock()
	s.apply(&e, nil)
}

// repeatable returns whether an attempt went silent on a reused connection and may be repeated on a new one, which
// it pays for.
func (s *server) repeatable(c *call, result *broker.BackendResult) bool {
	if result.Answer.Reason != broker.ReasonSilent || !result.Reused || !c.sub.Idempotent || !s.permit() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.repeats < 1 {
		return false
	}
	s.repeats--
	return true
}

// finish frees the slot of a call and answers it; the answer of a call whose connection was lost waits until it is
// known whether the server died.
func (s *server) finish(c *call, result broker.BackendResult, latency time.Duration) {
	now := s.owner.clock.Now()
	verdict := verdictOf(&result)
	if s.released.Load() && result.Answer.Reason == broker.ReasonLeaseLapsed {
		result.Answer.Reason = broker.ReasonNotOwner
	}
	var e effects
	s.mu.Lock()
	s.repeats = min(s.repeats+s.owner.options.RepeatShare, repeatBurst)
	if verdict == admitter.VerdictAnswered {
		s.failedPolls = 0 // observed outcomes take precedence over probes
	}
	lost := verdict == admitter.VerdictLost
	if lost {
		s.investigate(c, now)
	} else if s.investigation != nil && whole(verdict) {
		s.investigation.exonerate(c)
	}
	delete(s.calls, c.ticket)
	if !lost && result.BytesSent && !whole(verdict) {
		s.remember(c, now)
	}
	s.collect(&e, s.admitter.Finish(c.ticket, admitter.Result{
		Verdict: verdict, Latency: latency, BootID: result.BootID, Draining: result.Draining,
	}, now))
	result.Answer.Queued = s.admitter.Queued()
	result.Answer.Latency = latency
	if lost {
		s.investigation.answers = append(s.investigation.answers, heldAnswer{call: c, answer: result.Answer})
	}
	s.mu.Unlock()
	if !lost {
		s.endTrial(c, verdict, result.BytesSent, now)
		s.answer(c, result.Answer)
	}
	s.apply(&e, nil)
}

// endTrial settles the one more run of a suspect that did not end in a lost connection.
func (s *server) endTrial(c *call, verdict admitter.Verdict, bytesSent bool, now time.Time) {
	if !c.trial {
		return
	}
	switch {
	case whole(verdict):
		s.owner.counters.cleared.Inc()
		s.report(broker.CrashReport{Fingerprint: c.sub.Fingerprint, Server: s.name, BootID: c.bootID, Cleared: true})
	case bytesSent:
		s.owner.quarantine.Abandon(c.sub.Fingerprint, s.name, unresolvedFor, now)
	default:
		s.owner.quarantine.Abandon(c.sub.Fingerprint, s.name, 0, now)
	}
}

// report applies a crash report here and passes it on.
func (s *server) report(report broker.CrashReport) {
	s.owner.quarantine.Report(report, s.owner.clock.Now())
	if s.owner.events.Crashed != nil {
		s.owner.events.Crashed(report)
	}
}
