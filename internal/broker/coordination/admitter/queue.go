package admitter

import (
	"slices"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
)

// refusal returns why the request cannot even be queued, or broker.ReasonNone.
func (a *Admitter) refusal(request *Request, now time.Time) broker.Reason {
	switch {
	case request.Probe && a.probe != nil:
		return broker.ReasonDuplicate
	case request.Probe:
		return broker.ReasonNone
	case a.closedBy != broker.ReasonNone:
		return a.closedBy
	case a.selfLeaving:
		return broker.ReasonDraining
	case a.phase == broker.PhaseDown && now.Before(a.pausedUntil):
		return broker.ReasonUnreachable
	case !now.Before(request.Deadline):
		return broker.ReasonDeadline
	default:
		return broker.ReasonNone
	}
}

// submitProbe starts a probe, or keeps it for the next free slot: under overload there is no other.
func (a *Admitter) submitProbe(request Request, now time.Time) {
	if a.probeable(now) {
		a.start(&request, now)
		return
	}
	a.probe = &request
}

// probeable returns whether a status probe fits in the limits; a closed or unreachable server may be probed by one
// probe at a time, because nothing else shows its return.
func (a *Admitter) probeable(now time.Time) bool {
	used := len(a.running) + a.busy
	switch {
	case a.exclusive():
		return false
	case a.phase == broker.PhaseDown, a.phase == broker.PhaseDraining, a.verifying:
		return used < a.settings.Slots
	default:
		return used < a.permitted(now)
	}
}

func (a *Admitter) exclusive() bool {
	return len(a.running) == 1 && a.running[0].alone
}

// permitted returns how many requests may run now.
func (a *Admitter) permitted(now time.Time) int {
	if a.verifying || a.phase == broker.PhaseDraining || now.Before(a.pausedUntil) {
		return 0
	}
	return a.capacity()
}

// capacity returns how many requests may run once no pause is left.
func (a *Admitter) capacity() int {
	switch {
	case a.backoff > 0 || a.phase == broker.PhaseDown:
		return 1 // one trial request until the server answers again
	case a.ceiling > 0:
		return min(a.limit, a.ceiling)
	default:
		return a.limit
	}
}

func (a *Admitter) startable(request *Request, now time.Time) bool {
	used := len(a.running) + a.busy
	if used >= a.permitted(now) || a.exclusive() {
		return false
	}
	return !request.Alone || used == 0
}

// before orders the queue by priority and then deadline.
func before(a, b *Request) bool {
	if a.Priority != b.Priority {
		return a.Priority > b.Priority
	}
	return a.Deadline.Before(b.Deadline)
}

// enqueue inserts the request, refusing what the queue can no longer serve in time, lowest priority first.
func (a *Admitter) enqueue(request Request, now time.Time) {
	at := len(a.queue)
	for at > 0 && before(&request, &a.queue[at-1]) {
		at--
	}
	if reason := a.unmeetable(&request, at, now); reason != broker.ReasonNone {
		a.refuse(request.Ticket, reason)
		return
	}
	// A request that was accepted is not given up for one of equal or lower priority.
	for i := at; i < len(a.queue) && a.queue[i].Priority >= request.Priority; i++ {
		if a.unmeetable(&a.queue[i], i+1, now) != broker.ReasonNone {
			a.refuse(request.Ticket, broker.ReasonOverloaded)
			return
		}
	}
	if len(a.queue) >= a.settings.QueueLimit {
		last := a.queue[len(a.queue)-1]
		if last.Priority >= request.Priority {
			a.refuse(request.Ticket, broker.ReasonOverloaded)
			return
		}
		a.queue = a.queue[:len(a.queue)-1]
		a.refuse(last.Ticket, broker.ReasonOverloaded)
	}
	a.queue = slices.Insert(a.queue, min(at, len(a.queue)), request)
	a.prune(now)
}

// prune refuses queued requests that cannot be answered in time any more.
func (a *Admitter) prune(now time.Time) {
	kept := a.queue[:0]
	for i := range a.queue {
		if reason := a.unmeetable(&a.queue[i], len(kept), now); reason != broker.ReasonNone {
			a.refuse(a.queue[i].Ticket, reason)
			continue
		}
		kept = append(kept, a.queue[i])
	}
	a.queue = kept
}

// unmeetable returns why a request with this many others ahead of it in the queue cannot be answered in time, or
// broker.ReasonNone.
func (a *Admitter) unmeetable(request *Request, ahead int, now time.Time) broker.Reason {
	if !now.Before(request.Deadline) {
		return broker.ReasonDeadline
	}
	wait, blockedBy := a.blocked(now)
	left := request.Deadline.Sub(now) - wait
	if left <= 0 {
		return blockedBy
	}
	// An idle server takes its next request whatever the estimate says; otherwise a wrong estimate could never be
	// corrected.
	if ahead == 0 && len(a.running)+a.busy == 0 {
		return broker.ReasonNone
	}
	places := max(a.capacity()-a.busy, 1)
	if len(a.running)+a.busy >= places {
		ahead++
	}
	queueing := a.estimate.mean * time.Duration(ahead) / time.Duration(places)
	if queueing+a.estimate.run() > left {
		return broker.ReasonDeadline
	}
	return broker.ReasonNone
}

// blocked returns how long nothing can start, and the reason to give for it.
func (a *Admitter) blocked(now time.Time) (time.Duration, broker.Reason) {
	wait, reason := time.Duration(0), broker.ReasonDeadline
	if pause := a.pausedUntil.Sub(now); pause > 0 {
		wait, reason = pause, broker.ReasonShed
	}
	if a.busy >= a.capacity() {
		if busy := a.busyUntil.Sub(now); busy > wait {
			wait, reason = busy, broker.ReasonOverloaded
		}
	}
	return wait, reason
}

// pump starts queued requests while limits permit it.
func (a *Admitter) pump(now time.Time) {
	if a.probe != nil && a.probeable(now) {
		a.start(a.probe, now)
		a.probe = nil
	}
	if len(a.queue) == 0 {
		return
	}
	if reason := a.closed(now); reason != broker.ReasonNone {
		a.clearQueue(reason)
		return
	}
	a.prune(now)
	for len(a.queue) > 0 && a.startable(&a.queue[0], now) {
		request := a.queue[0]
		a.queue = slices.Delete(a.queue, 0, 1)
		a.start(&request, now)
	}
}

// closed returns why the whole queue has to be refused, or broker.ReasonNone.
func (a *Admitter) closed(now time.Time) broker.Reason {
	switch {
	case a.closedBy != broker.ReasonNone:
		return a.closedBy
	case a.selfLeaving:
		return broker.ReasonDraining
	case a.phase == broker.PhaseDown && now.Before(a.pausedUntil):
		return broker.ReasonUnreachable
	default:
		return broker.ReasonNone
	}
}

func (a *Admitter) clearQueue(reason broker.Reason) {
	for i := range a.queue {
		a.refuse(a.queue[i].Ticket, reason)
	}
	a.queue = a.queue[:0]
}
