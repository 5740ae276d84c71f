package owner

import (
	"context"
	"sync"

	"github.com/yuccarock/yuccarock/internal/broker"
)

// canaryQueue runs the canaries of equal requests one after the other, whichever hosts sent them: until one of them has
// ended, it is not known whether the request crashes servers.
type canaryQueue struct {
	mu      sync.Mutex
	waiting map[broker.Fingerprint][]*call // the calls behind each canary in progress
}

func newCanaryQueue() canaryQueue {
	return canaryQueue{waiting: make(map[broker.Fingerprint][]*call)}
}

// enter returns whether a canary may run now; otherwise it waits until leave returns it.
func (q *canaryQueue) enter(c *call) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	waiting, busy := q.waiting[c.sub.Fingerprint]
	if busy {
		q.waiting[c.sub.Fingerprint] = append(waiting, c)
		return false
	}
	q.waiting[c.sub.Fingerprint] = nil
	return true
}

// leave ends the canary in progress and returns the calls that waited for it.
func (q *canaryQueue) leave(fingerprint broker.Fingerprint) []*call {
	q.mu.Lock()
	defer q.mu.Unlock()
	waiting := q.waiting[fingerprint]
	delete(q.waiting, fingerprint)
	return waiting
}

// endCanary lets the equal requests go on that waited for a call: all of them after an answer, otherwise one by one.
func (o *Owner) endCanary(c *call, outcome broker.Outcome) {
	if !c.runsAsCanary {
		return
	}
	c.runsAsCanary = false
	for _, next := range o.canaries.leave(c.sub.Fingerprint) {
		if outcome == broker.OutcomeAnswered {
			next.sub.Canary = false
		}
		o.resume(next)
	}
}

// resume continues a call that waited for a canary.
func (o *Owner) resume(c *call) {
	if err := c.ctx.Err(); err != nil {
		reason := broker.ReasonCancelled
		if err == context.DeadlineExceeded {
			reason = broker.ReasonDeadline
		}
		o.answer(c, refuse(&c.sub, reason, 0))
		return
	}
	if o.admitOrRefuse(c) {
		o.work.Go(func() { c.server.run(c) })
	}
}
