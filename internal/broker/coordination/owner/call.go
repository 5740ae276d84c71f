package owner

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/admitter"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/quarantiner"
)

// call is one sub-request from its arrival to its answer.
type call struct {
	sub      broker.SubRequest
	server   *server
	ctx      context.Context
	stop     context.CancelFunc // nil if ctx belongs to the caller of Handle
	reply    func(broker.SubAnswer)
	ticket   admitter.Ticket
	deadline time.Time

	alone      bool // runs alone, because its fingerprint is a suspect
	holdsTrial bool // is the trial run of its fingerprint
	dispatched bool
	bootID     string // of the server when the call was dispatched

	runsAsCanary bool // equal requests wait for it
}

// Handle runs one sub-request and returns its answer; it cancels the sub-request when ctx ends.
func (o *Owner) Handle(ctx context.Context, sub broker.SubRequest) broker.SubAnswer {
	answers := make(chan broker.SubAnswer, 1)
	c := &call{sub: sub, ctx: ctx, reply: func(answer broker.SubAnswer) { answers <- answer }}
	c.deadline = o.clock.Now().Add(sub.Remaining)
	o.work.Add(1)
	defer o.work.Done()
	if o.admitOrRefuse(c) {
		c.server.run(c)
	}
	select {
	case answer := <-answers:
		return answer
	case <-ctx.Done():
		c.server.cancelQueued(c)
		return <-answers
	}
}

// Submit runs one sub-request and calls reply once with its answer. A duplicate of an attempt in progress is ignored,
// because its answer would be mistaken for the attempt's.
func (o *Owner) Submit(sub broker.SubRequest, reply func(broker.SubAnswer)) {
	key := keyOf(&sub)
	// This context carries the deadline, so run needs no context of its own.
	ctx, stop := context.WithTimeout(context.Background(), sub.Remaining)
	c := &call{sub: sub, ctx: ctx, stop: stop, deadline: o.clock.Now().Add(sub.Remaining)}
	c.reply = func(answer broker.SubAnswer) {
		o.calls.remove(key)
		stop()
		reply(answer)
	}
	if !o.calls.add(key, c) {
		stop()
		o.counters.duplicates.Inc()
		return
	}
	if o.admitOrRefuse(c) {
		o.work.Go(func() { c.server.run(c) })
	}
}

// Cancel cancels an attempt passed to Submit; its reply is still called.
func (o *Owner) Cancel(requestID string, shard broker.ShardName, attempt uint32) {
	c := o.calls.get(callKey{requestID, shard, attempt})
	if c == nil {
		return
	}
	c.stop()
	c.server.cancelQueued(c)
}

// admitOrRefuse submits a call to its server and returns whether the caller has to run it now.
func (o *Owner) admitOrRefuse(c *call) bool {
	now := o.clock.Now()
	if c.server == nil {
		s := o.serverSet.Load().servers[c.sub.Server]
		if s == nil {
			o.answer(c, refuse(&c.sub, broker.ReasonNotOwner, 0))
			return false
		}
		c.server = s
	}
	switch state := o.quarantine.State(c.sub.Fingerprint, now); state {
	case quarantiner.Quarantined, quarantiner.OnTrial:
		o.counters.quarantined.Inc()
		o.answer(c, refuse(&c.sub, refusalReason(state), 0))
		return false
	case quarantiner.Suspect:
		c.alone = true
	}
	if c.sub.Canary && !c.runsAsCanary {
		if !o.canaries.enter(c) {
			return false
		}
		c.runsAsCanary = true
	}
	return c.server.admit(c, now)
}

func (s *server) admit(c *call, now time.Time) bool {
	var e effects
	s.mu.Lock()
	if s.released.Load() {
		s.mu.Unlock()
		s.owner.answer(c, refuse(&c.sub, broker.ReasonNotOwner, 0))
		return false
	}
	s.lastTicket++
	c.ticket = s.lastTicket
	s.calls[c.ticket] = c
	request := admitter.Request{
		Ticket: c.ticket, Kind: c.sub.Kind, Priority: c.sub.Priority, Deadline: c.deadline, Alone: c.alone,
	}
	s.collectEffects(&e, s.admitter.Submit(request, now))
	s.mu.Unlock()
	return s.applyEffects(&e, c)
}

// cancelQueued removes a call from the queue; a dispatched call ends through its context.
func (s *server) cancelQueued(c *call) {
	if s == nil {
		return
	}
	now := s.owner.clock.Now()
	s.update(func(a *admitter.Admitter) []admitter.Action { return a.Cancel(c.ticket, now) })
}

// answer counts an answer, sends it, and lets the requests go on that waited for the call; no server may be locked.
func (o *Owner) answer(c *call, answer broker.SubAnswer) {
	switch answer.Outcome {
	case broker.OutcomeAnswered:
		o.counters.answered.Inc()
	case broker.OutcomeNotRun:
		o.counters.notRun.Inc()
	case broker.OutcomeFailed:
		o.counters.failed.Inc()
	default:
		o.counters.unknown.Inc()
	}
	c.reply(answer)
	o.endCanary(c, answer.Outcome)
}

// callKey identifies an attempt across all entry hosts.
type callKey struct {
	requestID string
	shard     broker.ShardName
	attempt   uint32
}

func keyOf(sub *broker.SubRequest) callKey { return callKey{sub.RequestID, sub.Shard, sub.Attempt} }

// callRegistryStripes keeps lock contention low on hosts with tens of cores.
const callRegistryStripes = 64

// callRegistry holds the calls in progress, for Cancel and the detection of duplicates.
type callRegistry struct {
	stripes []callStripe
}

type callStripe struct {
	mu    sync.Mutex
	calls map[callKey]*call
}

func newCallRegistry() callRegistry {
	r := callRegistry{stripes: make([]callStripe, callRegistryStripes)}
	for i := range r.stripes {
		r.stripes[i].calls = make(map[callKey]*call)
	}
	return r
}

func (r *callRegistry) stripeFor(key callKey) *callStripe {
	return &r.stripes[xxhash.Sum64String(key.requestID)%callRegistryStripes]
}

func (r *callRegistry) add(key callKey, c *call) bool {
	stripe := r.stripeFor(key)
	stripe.mu.Lock()
	defer stripe.mu.Unlock()
	if stripe.calls[key] != nil {
		return false
	}
	stripe.calls[key] = c
	return true
}

func (r *callRegistry) get(key callKey) *call {
	stripe := r.stripeFor(key)
	stripe.mu.Lock()
	defer stripe.mu.Unlock()
	return stripe.calls[key]
}

func (r *callRegistry) remove(key callKey) {
	stripe := r.stripeFor(key)
	stripe.mu.Lock()
	defer stripe.mu.Unlock()
	delete(stripe.calls, key)
}
