package admitter

import (
	"slices"
	"time"

	"github.com/looplab/fsm"

	"github.com/yuccarock/yuccarock/internal/broker"
)

// running is one dispatched request.
type running struct {
	ticket  Ticket
	kind    string
	started time.Time
	alone   bool
	probe   bool
}

// Admitter decides for one backend server; each method returns actions that are valid until the next call.
type Admitter struct {
	settings Settings
	machine  *fsm.FSM
	phase    broker.Phase
	bootID   string
	formerID string // the boot ID before, which a lagging status may still state

	announced broker.ServerState // of the previous owner, until the server shows a boot ID

	limit    int // concurrency that the ramp permits
	answers  int // answers since the last step of the ramp
	evidence int // successive signs of a cold start

	closedBy    broker.Reason // reason of the configuration for no new work
	selfLeaving bool          // the server said that it is leaving
	leavingAt   time.Time     // when it last said so

	busy      int // slots counted for requests of the previous owner
	busyUntil time.Time

	pausedUntil time.Time // no dispatch before, after the server shed or was unreachable
	backoff     time.Duration
	ceiling     int // concurrency below which the server last shed, zero where it does not shed
	relief      int // answers since the ceiling last changed
	verifying   bool

	estimate estimate
	running  []running
	queue    []Request
	probe    *Request // a probe that waits for a slot
	actions  []Action
}

// New returns an admitter of a server that was never seen.
func New(settings Settings) *Admitter {
	a := &Admitter{settings: settings.normalized(), phase: broker.PhaseUnknown}
	a.estimate.warm = make(map[string]time.Duration)
	a.limit = a.settings.ColdConcurrency
	a.machine = newMachine(a)
	return a
}

// Submit asks for a slot; the request is dispatched, queued or refused.
func (a *Admitter) Submit(request Request, now time.Time) []Action {
	a.begin(now)
	if reason := a.refusal(&request, now); reason != broker.ReasonNone {
		a.refuse(request.Ticket, reason)
		return a.actions
	}
	if request.Probe {
		a.submitProbe(request, now)
		return a.actions
	}
	if len(a.queue) == 0 && a.probe == nil && a.startable(&request, now) {
		a.start(&request, now)
		return a.actions
	}
	a.enqueue(request, now)
	a.pump(now)
	return a.actions
}

// Cancel withdraws a queued request; a dispatched one keeps its slot until Finish.
func (a *Admitter) Cancel(ticket Ticket, now time.Time) []Action {
	a.begin(now)
	if i := slices.IndexFunc(a.queue, func(r Request) bool { return r.Ticket == ticket }); i >= 0 {
		a.queue = slices.Delete(a.queue, i, i+1)
		a.refuse(ticket, broker.ReasonCancelled)
		a.pump(now)
	}
	return a.actions
}

// Finish ends a dispatched request and frees its slot; an unknown ticket is ignored.
func (a *Admitter) Finish(ticket Ticket, result Result, now time.Time) []Action {
	a.begin(now)
	i := slices.IndexFunc(a.running, func(r running) bool { return r.ticket == ticket })
	if i < 0 {
		return a.actions
	}
	ended := a.running[i]
	a.running = slices.Delete(a.running, i, i+1)
	if result.Latency <= 0 {
		result.Latency = now.Sub(ended.started)
	}
	a.sight(result.BootID)
	if ended.probe {
		a.pump(now)
		return a.actions
	}
	a.learn(ended.kind, result, now)
	if result.Draining {
		a.leave(now)
	}
	a.pump(now)
	return a.actions
}

// Tick refuses queued requests whose deadline cannot be met any more, ends pauses and looks for overdue requests.
func (a *Admitter) Tick(now time.Time) []Action {
	a.begin(now)
	a.suspectOverdue(now)
	a.pump(now)
	return a.actions
}

// Configure takes new limits and the configuration's reason for no new work, or broker.ReasonNone.
func (a *Admitter) Configure(settings Settings, closedBy broker.Reason, now time.Time) []Action {
	a.begin(now)
	settings = settings.normalized()
	changed := settings != a.settings
	a.settings = settings
	a.closedBy = closedBy
	a.limit = min(max(a.limit, settings.ColdConcurrency), settings.Slots)
	if a.phase == broker.PhaseWarm {
		a.limit = settings.Slots
	}
	a.settleDrain()
	if changed {
		a.announce()
	}
	a.pump(now)
	return a.actions
}

// ObserveStatus takes a status answer; only boot ID and draining are believed, because load and health lag.
func (a *Admitter) ObserveStatus(status broker.BackendStatus, now time.Time) []Action {
	a.begin(now)
	a.observe(status, now)
	a.pump(now)
	return a.actions
}

// ObserveUnreachable takes a status probe that could not connect.
func (a *Admitter) ObserveUnreachable(now time.Time) []Action {
	a.begin(now)
	a.lose(now)
	a.pump(now)
	return a.actions
}

// Confirm ends the verification that ActionVerify asked for; status is nil where the server did not answer.
func (a *Admitter) Confirm(crashed bool, status *broker.BackendStatus, now time.Time) []Action {
	a.begin(now)
	a.verifying = false
	switch {
	case status != nil:
		a.observe(*status, now)
		if !crashed {
			a.suspectCold(1)
		}
	case crashed:
		a.lose(now)
	default:
		a.suspectCold(1)
	}
	a.pump(now)
	return a.actions
}

// Adopt takes over from the previous owner with the state that it handed over (planned) or announced recently, nil
// where there is none. Slots that it may still use count as busy for the longest attempt: after a planned change those
// in flight, otherwise all. An announced phase is resumed only once the server has shown the same boot ID.
func (a *Admitter) Adopt(state *broker.ServerState, planned bool, now time.Time) []Action {
	a.begin(now)
	a.busy = a.settings.Slots
	if planned && state != nil {
		a.busy = min(state.InFlight, a.settings.Slots)
	}
	a.busyUntil = now.Add(a.settings.AttemptTimeout)
	a.announce()
	if state == nil {
		return a.actions
	}
	a.announced = *state
	if planned {
		a.bootID = state.BootID
		a.resume()
	}
	return a.actions
}

// Phase returns the phase of the server.
func (a *Admitter) Phase() broker.Phase { return a.phase }

// BootID returns the last boot ID that the server stated.
func (a *Admitter) BootID() string { return a.bootID }

// Queued returns the number of waiting requests.
func (a *Admitter) Queued() int { return len(a.queue) }

// InFlight returns the number of dispatched requests, without probes.
func (a *Admitter) InFlight() int {
	count := 0
	for i := range a.running {
		if !a.running[i].probe {
			count++
		}
	}
	return count
}

// AnnouncedLimit returns the concurrency that entries may count on.
func (a *Admitter) AnnouncedLimit() int {
	switch a.phase {
	case broker.PhaseDraining, broker.PhaseDown:
		return 0
	default:
		return a.limit
	}
}

// RefuseAll refuses every queued request with the reason, as when ownership ends.
func (a *Admitter) RefuseAll(reason broker.Reason, now time.Time) []Action {
	a.begin(now)
	a.clearQueue(reason)
	return a.actions
}

func (a *Admitter) begin(now time.Time) {
	a.actions = a.actions[:0]
	if a.busy > 0 && !now.Before(a.busyUntil) {
		a.busy = 0
	}
}

func (a *Admitter) refuse(ticket Ticket, reason broker.Reason) {
	a.actions = append(a.actions, Action{Kind: ActionRefuse, Ticket: ticket, Reason: reason})
}

// announce adds one announcement to the actions of the current event.
func (a *Admitter) announce() {
	for i := range a.actions {
		if a.actions[i].Kind == ActionAnnounce {
			return
		}
	}
	a.actions = append(a.actions, Action{Kind: ActionAnnounce})
}

func (a *Admitter) start(request *Request, now time.Time) {
	a.running = append(a.running,
		running{ticket: request.Ticket, kind: request.Kind, started: now, alone: request.Alone, probe: request.Probe})
	a.actions = append(a.actions, Action{Kind: ActionDispatch, Ticket: request.Ticket})
}
