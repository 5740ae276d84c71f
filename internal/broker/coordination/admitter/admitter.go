package admitter

import (
	"slices"
	"time"

	"github.com/looplab/fsm"

	"github.com/yuccarock/yuccarock/internal/broker"
)

// runningRequest is one dispatched request.
type runningRequest struct {
	ticket  Ticket
	kind    string
	started time.Time
	alone   bool
	probe   bool
}

// Admitter makes the decisions for one backend server. Returned actions are valid until the next call of a method.
type Admitter struct {
	settings       Settings
	machine        *fsm.FSM
	phase          broker.Phase
	bootID         string
	previousBootID string // a delayed status may still report it

	previousOwnerState broker.ServerState // kept until the server reports a boot ID

	limit       int // concurrency allowed by the ramp
	rampAnswers int // answers since the last step of the ramp, without slow ones
	coldSigns   int // successive signs of a cold start

	closedReason   broker.Reason // for which the configuration excludes new requests
	serverDraining bool          // the server reported that it is draining
	drainingSeenAt time.Time     // when it last reported that

	inheritedSlots int // slots that requests of the previous owner may still use
	inheritedUntil time.Time

	pausedUntil    time.Time // no dispatch before this, because the server shed or was unreachable
	backoff        time.Duration
	ceiling        int  // maximum concurrency since the server last shed, zero if none
	ceilingAnswers int  // answers since the ceiling last changed
	verifying      bool // waits for FinishVerification

	estimate     estimate
	running      []runningRequest
	queue        []Request
	waitingProbe *Request // status probe that waits for a slot
	actions      []Action
}

// New returns an Admitter for a server of which nothing is known yet.
func New(settings Settings) *Admitter {
	a := &Admitter{settings: settings.normalized(), phase: broker.PhaseUnknown}
	a.estimate.warmLatencies = make(map[string]time.Duration)
	a.limit = a.settings.ColdConcurrency
	a.machine = newMachine(a)
	return a
}

// Submit requests a slot; the request is dispatched, queued or refused.
func (a *Admitter) Submit(request Request, now time.Time) []Action {
	a.beginEvent(now)
	if reason := a.refusalReason(&request, now); reason != broker.ReasonNone {
		a.refuse(request.Ticket, reason)
		return a.actions
	}
	if request.Probe {
		a.submitProbe(request, now)
		return a.actions
	}
	if len(a.queue) == 0 && a.waitingProbe == nil && a.canStart(&request, now) {
		a.dispatch(&request, now)
		return a.actions
	}
	a.enqueue(request, now)
	a.dispatchQueued(now)
	return a.actions
}

// Cancel refuses a queued request as cancelled; a dispatched one keeps its slot until Finish.
func (a *Admitter) Cancel(ticket Ticket, now time.Time) []Action {
	a.beginEvent(now)
	if i := slices.IndexFunc(a.queue, func(r Request) bool { return r.Ticket == ticket }); i >= 0 {
		a.queue = slices.Delete(a.queue, i, i+1)
		a.refuse(ticket, broker.ReasonCancelled)
		a.dispatchQueued(now)
	}
	return a.actions
}

// Finish takes the result of a dispatched request and frees its slot; an unknown ticket is ignored.
func (a *Admitter) Finish(ticket Ticket, result Result, now time.Time) []Action {
	a.beginEvent(now)
	i := slices.IndexFunc(a.running, func(r runningRequest) bool { return r.ticket == ticket })
	if i < 0 {
		return a.actions
	}
	ended := a.running[i]
	a.running = slices.Delete(a.running, i, i+1)
	if result.Latency <= 0 {
		result.Latency = now.Sub(ended.started)
	}
	a.observeBootID(result.BootID)
	if ended.probe {
		a.dispatchQueued(now)
		return a.actions
	}
	a.applyResult(ended.kind, result, now)
	if result.Draining {
		a.markDraining(now)
	}
	a.dispatchQueued(now)
	return a.actions
}

// Tick refuses queued requests that can no longer meet their deadline, ends pauses and checks for overdue requests.
func (a *Admitter) Tick(now time.Time) []Action {
	a.beginEvent(now)
	a.checkOverdue(now)
	a.dispatchQueued(now)
	return a.actions
}

// Configure applies new settings. closedReason is the reason for which the configuration excludes new requests, or
// broker.ReasonNone.
func (a *Admitter) Configure(settings Settings, closedReason broker.Reason, now time.Time) []Action {
	a.beginEvent(now)
	settings = settings.normalized()
	changed := settings != a.settings
	a.settings = settings
	a.closedReason = closedReason
	a.limit = min(max(a.limit, settings.ColdConcurrency), settings.Slots)
	if a.phase == broker.PhaseWarm {
		a.limit = settings.Slots
	}
	a.updateDraining()
	if changed {
		a.announce()
	}
	a.dispatchQueued(now)
	return a.actions
}

// ObserveStatus takes the answer to a status probe. Only its boot ID and draining flag are used, because load and
// health lag behind.
func (a *Admitter) ObserveStatus(status broker.BackendStatus, now time.Time) []Action {
	a.beginEvent(now)
	a.applyStatus(status, now)
	a.dispatchQueued(now)
	return a.actions
}

// ObserveUnreachable records that a status probe could not reach the server.
func (a *Admitter) ObserveUnreachable(now time.Time) []Action {
	a.beginEvent(now)
	a.markUnreachable(now)
	a.dispatchQueued(now)
	return a.actions
}

// FinishVerification takes the result of the probe that ActionVerify asked for; status is nil if the server did not
// answer.
func (a *Admitter) FinishVerification(crashed bool, status *broker.BackendStatus, now time.Time) []Action {
	a.beginEvent(now)
	a.verifying = false
	switch {
	case status != nil:
		a.applyStatus(*status, now)
		if !crashed {
			a.addColdSigns(1)
		}
	case crashed:
		a.markUnreachable(now)
	default:
		a.addColdSigns(1)
	}
	a.dispatchQueued(now)
	return a.actions
}

// Adopt takes over from the previous owner. state is what that owner handed over (planned) or last announced, or nil.
// Slots that its requests may still use count as busy for Settings.AttemptTimeout: those in flight after a planned
// change, all otherwise. An announced phase is resumed only once the server reports the same boot ID.
func (a *Admitter) Adopt(state *broker.ServerState, planned bool, now time.Time) []Action {
	a.beginEvent(now)
	a.inheritedSlots = a.settings.Slots
	if planned && state != nil {
		a.inheritedSlots = min(state.InFlight, a.settings.Slots)
	}
	a.inheritedUntil = now.Add(a.settings.AttemptTimeout)
	a.announce()
	if state == nil {
		return a.actions
	}
	a.previousOwnerState = *state
	if planned {
		a.bootID = state.BootID
		a.resumePhase()
	}
	return a.actions
}

// Phase returns the phase of the server.
func (a *Admitter) Phase() broker.Phase { return a.phase }

// BootID returns the last boot ID that the server reported.
func (a *Admitter) BootID() string { return a.bootID }

// Queued returns the number of queued requests.
func (a *Admitter) Queued() int { return len(a.queue) }

// InFlight returns the number of dispatched requests, without status probes.
func (a *Admitter) InFlight() int {
	count := 0
	for i := range a.running {
		if !a.running[i].probe {
			count++
		}
	}
	return count
}

// AnnouncedLimit returns the concurrency that entry hosts may use.
func (a *Admitter) AnnouncedLimit() int {
	switch a.phase {
	case broker.PhaseDraining, broker.PhaseDown:
		return 0
	default:
		return a.limit
	}
}

// RefuseAll refuses every queued request with the reason, for the end of ownership.
func (a *Admitter) RefuseAll(reason broker.Reason, now time.Time) []Action {
	a.beginEvent(now)
	a.clearQueue(reason)
	return a.actions
}

func (a *Admitter) beginEvent(now time.Time) {
	a.actions = a.actions[:0]
	if a.inheritedSlots > 0 && !now.Before(a.inheritedUntil) {
		a.inheritedSlots = 0
	}
}

func (a *Admitter) refuse(ticket Ticket, reason broker.Reason) {
	a.actions = append(a.actions, Action{Kind: ActionRefuse, Ticket: ticket, Reason: reason})
}

// announce adds an announcement to the actions of the current event, unless there is one already.
func (a *Admitter) announce() {
	for i := range a.actions {
		if a.actions[i].Kind == ActionAnnounce {
			return
		}
	}
	a.actions = append(a.actions, Action{Kind: ActionAnnounce})
}

func (a *Admitter) dispatch(request *Request, now time.Time) {
	a.running = append(a.running,
		runningRequest{ticket: request.Ticket, kind: request.Kind, started: now, alone: request.Alone, probe: request.Probe})
	a.actions = append(a.actions, Action{Kind: ActionDispatch, Ticket: request.Ticket})
}
