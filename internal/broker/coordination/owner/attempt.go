package owner

import (
	"context"
	"net/netip"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/admitter"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/quarantiner"
)

// trialDelay is the time between announcing the trial run of a suspect and running it. It covers the latency of a peer
// link, so that of two nodes that claim the same trial at once, both learn of it before either runs it; without the
// delay, simultaneous resends crashed a third server.
const trialDelay = 50 * time.Millisecond

// run dispatches an admitted call and finishes it.
func (s *server) run(c *call) {
	started := s.owner.clock.Now()
	switch state := s.owner.quarantine.ClaimTrial(c.sub.Fingerprint, s.name, started); state {
	case quarantiner.Quarantined, quarantiner.OnTrial:
		s.refuseQuarantined(c, state)
		return
	case quarantiner.Suspect:
		if !c.alone {
			s.resubmitAlone(c, started)
			return
		}
		if !s.claimTrial(c) {
			s.refuseQuarantined(c, s.owner.quarantine.State(c.sub.Fingerprint, s.owner.clock.Now()))
			return
		}
		started = s.owner.clock.Now()
	}
	if !s.mayDispatch() {
		s.finish(c, broker.BackendResult{Answer: refuse(&c.sub, broker.ReasonLeaseLapsed, 0)}, 0)
		return
	}
	ctx := c.ctx
	if c.stop == nil {
		limited, cancel := context.WithTimeout(ctx, c.deadline.Sub(started))
		defer cancel()
		ctx = limited
	}
	request := broker.BackendRequest{Sub: c.sub, Address: s.serverAddress(), Permit: s.mayDispatch}
	result := s.owner.backend.Send(ctx, request)
	if s.takeRepeatToken(c, &result) && ctx.Err() == nil {
		s.owner.counters.repeated.Inc()
		started = s.owner.clock.Now()
		request.Fresh = true
		result = s.owner.backend.Send(ctx, request)
		// The first send reached the server's host, so the request may have run even if the second one was refused.
		if result.Answer.Outcome == broker.OutcomeNotRun {
			result.Answer.Outcome = broker.OutcomeUnknown
			result.BytesSent = true
		}
	}
	s.finish(c, result, s.owner.clock.Now().Sub(started))
}

// claimTrial announces the trial run of a suspect and returns whether this node may run it.
func (s *server) claimTrial(c *call) bool {
	c.holdsTrial = true
	s.report(broker.CrashReport{Fingerprint: c.sub.Fingerprint, Server: s.name, BootID: c.bootID, Trial: true})
	select {
	case <-time.After(trialDelay):
	case <-c.ctx.Done():
	}
	return s.owner.quarantine.HoldsTrial(c.sub.Fingerprint, s.name, s.owner.clock.Now())
}

func (s *server) refuseQuarantined(c *call, state quarantiner.State) {
	s.owner.counters.quarantined.Inc()
	s.finish(c, broker.BackendResult{Answer: refuse(&c.sub, refusalReason(state), 0)}, 0)
}

func (s *server) serverAddress() netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// resubmitAlone submits a call again, to run alone, because its fingerprint became a suspect while it was queued.
func (s *server) resubmitAlone(c *call, now time.Time) {
	s.owner.quarantine.AbandonTrial(c.sub.Fingerprint, s.name, 0, now)
	var e effects
	s.mu.Lock()
	ticket := c.ticket
	s.lastTicket++
	c.ticket, c.alone, c.dispatched = s.lastTicket, true, false
	delete(s.calls, ticket)
	s.calls[c.ticket] = c
	s.collectEffects(&e, s.admitter.Finish(ticket, admitter.Result{Verdict: admitter.VerdictNotSent}, now))
	s.collectEffects(&e, s.admitter.Submit(admitter.Request{
		Ticket: c.ticket, Kind: c.sub.Kind, Priority: c.sub.Priority, Deadline: c.deadline, Alone: true,
	}, now))
	s.mu.Unlock()
	s.applyEffects(&e, nil)
}

// takeRepeatToken returns whether an attempt that went silent on a reused connection may be repeated on a new one, and
// takes a token if so.
func (s *server) takeRepeatToken(c *call, result *broker.BackendResult) bool {
	if result.Answer.Reason != broker.ReasonSilent || !result.Reused || !c.sub.Idempotent || !s.mayDispatch() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.repeatTokens < 1 {
		return false
	}
	s.repeatTokens--
	return true
}

// finish frees the slot of a call and answers it. If the connection was lost, the answer waits for the crash check.
func (s *server) finish(c *call, result broker.BackendResult, latency time.Duration) {
	now := s.owner.clock.Now()
	verdict := verdictOf(&result)
	if s.released.Load() && result.Answer.Reason == broker.ReasonLeaseLapsed {
		result.Answer.Reason = broker.ReasonNotOwner
	}
	var e effects
	s.mu.Lock()
	s.repeatTokens = min(s.repeatTokens+s.owner.options.RepeatRatio, maxRepeatTokens)
	if verdict == admitter.VerdictAnswered {
		s.failedPolls = 0 // an answered request outweighs failed status probes
	}
	lost := verdict == admitter.VerdictConnectionLost
	if lost {
		s.addToCrashCheck(c, now)
	} else if s.crashCheck != nil && completed(verdict) {
		s.crashCheck.removeSuspect(c)
	}
	delete(s.calls, c.ticket)
	if !lost && result.BytesSent && !completed(verdict) {
		s.addUnanswered(c, now)
	}
	s.collectEffects(&e, s.admitter.Finish(c.ticket, admitter.Result{
		Verdict: verdict, Latency: latency, BootID: result.BootID, Draining: result.Draining,
	}, now))
	result.Answer.Queued = s.admitter.Queued()
	result.Answer.Latency = latency
	if lost {
		s.crashCheck.answers = append(s.crashCheck.answers, pendingAnswer{call: c, answer: result.Answer})
	}
	s.mu.Unlock()
	if !lost {
		s.endTrial(c, verdict, result.BytesSent, now)
		s.owner.answer(c, result.Answer)
	}
	s.applyEffects(&e, nil)
}

// endTrial records the result of a trial run that did not end in a lost connection.
func (s *server) endTrial(c *call, verdict admitter.Verdict, bytesSent bool, now time.Time) {
	if !c.holdsTrial {
		return
	}
	switch {
	case completed(verdict):
		s.owner.counters.cleared.Inc()
		s.report(broker.CrashReport{Fingerprint: c.sub.Fingerprint, Server: s.name, BootID: c.bootID, Cleared: true})
	case bytesSent:
		s.owner.quarantine.AbandonTrial(c.sub.Fingerprint, s.name, unansweredTTL, now)
	default:
		s.owner.quarantine.AbandonTrial(c.sub.Fingerprint, s.name, 0, now)
	}
}

// report applies a crash report to the local quarantine and passes it on.
func (s *server) report(report broker.CrashReport) {
	s.owner.quarantine.Report(report, s.owner.clock.Now())
	if s.owner.events.CrashReported != nil {
		s.owner.events.CrashReported(report)
	}
}
