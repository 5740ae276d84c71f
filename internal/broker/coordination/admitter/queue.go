package admitter

import (
	"slices"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
)

// refusalReason returns the reason for which a request must not be queued, or broker.ReasonNone.
func (a *Admitter) refusalReason(request *Request, now time.Time) broker.Reason {
	switch {
	case request.Probe && a.waitingProbe != nil:
		return broker.ReasonDuplicate
	case request.Probe:
		return broker.ReasonNone
	case a.closedReason != broker.ReasonNone:
		return a.closedReason
	case a.serverDraining:
		return broker.ReasonDraining
	case a.phase == broker.PhaseDown && now.Before(a.pausedUntil):
		return broker.ReasonUnreachable
	case !now.Before(request.Deadline):
		return broker.ReasonDeadline
	default:
		return broker.ReasonNone
	}
}

// submitProbe starts a status probe, or keeps it for the next free slot, because under overload no slot is idle.
func (a *Admitter) submitProbe(request Request, now time.Time) {
	if a.canStartProbe(now) {
		a.dispatch(&request, now)
		return
	}
	a.waitingProbe = &request
}

// canStartProbe returns whether a status probe may start now. A draining or unreachable server may get one probe at a
// time, because nothing else shows its return.
func (a *Admitter) canStartProbe(now time.Time) bool {
	used := len(a.running) + a.inheritedSlots
	switch {
	case a.runsAlone():
		return false
	case a.phase == broker.PhaseDown, a.phase == broker.PhaseDraining, a.verifying:
		return used < a.settings.Slots
	default:
		return used < a.dispatchLimit(now)
	}
}

func (a *Admitter) runsAlone() bool {
	return len(a.running) == 1 && a.running[0].alone
}

// dispatchLimit returns the maximum number of requests that may run now.
func (a *Admitter) dispatchLimit(now time.Time) int {
	if a.verifying || a.phase == broker.PhaseDraining || now.Before(a.pausedUntil) {
		return 0
	}
	return a.capacity()
}

// capacity returns the maximum number of requests that may run once no pause is left.
func (a *Admitter) capacity() int {
	switch {
	case a.backoff > 0 || a.phase == broker.PhaseDown:
		return 1 // one request at a time until the server answers
	case a.ceiling > 0:
		return min(a.limit, a.ceiling)
	default:
		return a.limit
	}
}

func (a *Admitter) canStart(request *Request, now time.Time) bool {
	used := len(a.running) + a.inheritedSlots
	if used >= a.dispatchLimit(now) || a.runsAlone() {
		return false
	}
	return !request.Alone || used == 0
}

// precedes orders the queue by descending priority and then by deadline.
func precedes(a, b *Request) bool {
	if a.Priority != b.Priority {
		return a.Priority > b.Priority
	}
	return a.Deadline.Before(b.Deadline)
}

// enqueue inserts the request and refuses requests that the queue can no longer serve in time, lowest priority first.
func (a *Admitter) enqueue(request Request, now time.Time) {
	position := len(a.queue)
	for position > 0 && precedes(&request, &a.queue[position-1]) {
		position--
	}
	if reason := a.lateReason(&request, position, now); reason != broker.ReasonNone {
		a.refuse(request.Ticket, reason)
		return
	}
	// A queued request is not refused to make room for one of equal or lower priority.
	for i := position; i < len(a.queue) && a.queue[i].Priority >= request.Priority; i++ {
		if a.lateReason(&a.queue[i], i+1, now) != broker.ReasonNone {
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
	a.queue = slices.Insert(a.queue, min(position, len(a.queue)), request)
	a.prune(now)
}

// prune refuses queued requests that can no longer be answered in time.
func (a *Admitter) prune(now time.Time) {
	kept := a.queue[:0]
	for i := range a.queue {
		if reason := a.lateReason(&a.queue[i], len(kept), now); reason != broker.ReasonNone {
			a.refuse(a.queue[i].Ticket, reason)
			continue
		}
		kept = append(kept, a.queue[i])
	}
	a.queue = kept
}

// lateReason returns the reason for which a request with ahead others before it in the queue cannot be answered in
// time, or broker.ReasonNone.
func (a *Admitter) lateReason(request *Request, ahead int, now time.Time) broker.Reason {
	if !now.Before(request.Deadline) {
		return broker.ReasonDeadline
	}
	wait, delayReason := a.startDelay(now)
	left := request.Deadline.Sub(now) - wait
	if left <= 0 {
		return delayReason
	}
	// An idle server gets its next request regardless of the estimate, which could otherwise never be corrected.
	if ahead == 0 && len(a.running)+a.inheritedSlots == 0 {
		return broker.ReasonNone
	}
	concurrency := max(a.capacity()-a.inheritedSlots, 1)
	if len(a.running)+a.inheritedSlots >= concurrency {
		ahead++
	}
	queueing := a.estimate.mean * time.Duration(ahead) / time.Duration(concurrency)
	if queueing+a.estimate.typicalMax() > left {
		return broker.ReasonDeadline
	}
	return broker.ReasonNone
}

// startDelay returns how long no request can start, and the reason for refusing a request because of it.
func (a *Admitter) startDelay(now time.Time) (time.Duration, broker.Reason) {
	wait, reason := time.Duration(0), broker.ReasonDeadline
	if pause := a.pausedUntil.Sub(now); pause > 0 {
		wait, reason = pause, broker.ReasonShed
	}
	if a.inheritedSlots >= a.capacity() {
		if busy := a.inheritedUntil.Sub(now); busy > wait {
			wait, reason = busy, broker.ReasonOverloaded
		}
	}
	return wait, reason
}

// dispatchQueued starts the waiting probe and queued requests, as far as the limits allow.
func (a *Admitter) dispatchQueued(now time.Time) {
	if a.waitingProbe != nil && a.canStartProbe(now) {
		a.dispatch(a.waitingProbe, now)
		a.waitingProbe = nil
	}
	if len(a.queue) == 0 {
		return
	}
	if reason := a.queueRefusalReason(now); reason != broker.ReasonNone {
		a.clearQueue(reason)
		return
	}
	a.prune(now)
	for len(a.queue) > 0 && a.canStart(&a.queue[0], now) {
		request := a.queue[0]
		a.queue = slices.Delete(a.queue, 0, 1)
		a.dispatch(&request, now)
	}
}

// queueRefusalReason returns the reason for which the whole queue has to be refused, or broker.ReasonNone.
func (a *Admitter) queueRefusalReason(now time.Time) broker.Reason {
	switch {
	case a.closedReason != broker.ReasonNone:
		return a.closedReason
	case a.serverDraining:
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
