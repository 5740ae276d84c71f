package admitter

import (
	"context"
	"time"

	"github.com/looplab/fsm"

	"github.com/yuccarock/yuccarock/internal/broker"
)

// Events of the phase machine.
const (
	eventSight   = "sight"   // the server stated a boot ID or answered for the first time
	eventChill   = "chill"   // signs of a cold start, or a new boot ID
	eventClimb   = "climb"   // first step of the ramp
	eventWarm    = "warm"    // the ramp reached all slots
	eventLose    = "lose"    // the server cannot be reached
	eventLeave   = "leave"   // the server or the configuration ends new work
	eventRestore = "restore" // new work may go there again
)

const (
	// coldEvidence is how many successive slow answers or errors make a server cold. With 1% stragglers, four in a
	// row are expected once in 10^8 requests.
	coldEvidence = 4
	// leavingMemory is how long a status without the draining signal does not end a drain, because it may lag behind
	// the refusal or answer that stated the drain.
	leavingMemory = 5 * time.Second
	// reliefAnswers is how many answers raise the ceiling of a server that shed by one, so that a server with less
	// room than its slots sheds one request in this many.
	reliefAnswers = 32
	// firstBackoff and maxBackoff bound the pause after a shed or failed request, which doubles until an answer.
	firstBackoff = 20 * time.Millisecond
	maxBackoff   = time.Second
)

func newMachine(a *Admitter) *fsm.FSM {
	const (
		unknown  = string(broker.PhaseUnknown)
		cold     = string(broker.PhaseCold)
		ramping  = string(broker.PhaseRamping)
		warm     = string(broker.PhaseWarm)
		draining = string(broker.PhaseDraining)
		down     = string(broker.PhaseDown)
	)
	events := fsm.Events{
		{Name: eventSight, Src: []string{unknown, down}, Dst: cold},
		{Name: eventChill, Src: []string{unknown, cold, ramping, warm, down}, Dst: cold},
		{Name: eventClimb, Src: []string{unknown, cold, ramping}, Dst: ramping},
		{Name: eventWarm, Src: []string{unknown, cold, ramping}, Dst: warm},
		{Name: eventLose, Src: []string{unknown, cold, ramping, warm}, Dst: down},
		{Name: eventLeave, Src: []string{unknown, cold, ramping, warm, down}, Dst: draining},
		{Name: eventRestore, Src: []string{draining}, Dst: cold},
	}
	return fsm.NewFSM(unknown, events, fsm.Callbacks{
		"enter_state": func(_ context.Context, e *fsm.Event) { a.enter(broker.Phase(e.Dst)) },
	})
}

// fire passes an event to the phase machine; events without a transition from the current phase have no effect.
func (a *Admitter) fire(event string) {
	if a.machine.Can(event) {
		// The only errors left are "no transition" and "in transition"; callbacks fire no events.
		_ = a.machine.Event(context.Background(), event)
	}
}

func (a *Admitter) enter(phase broker.Phase) {
	a.phase = phase
	switch phase {
	case broker.PhaseCold:
		a.chill()
	case broker.PhaseWarm:
		a.limit = a.settings.Slots
	}
	a.evidence = 0
	a.announce()
}

// chill sets the limits of a cold server.
func (a *Admitter) chill() {
	a.limit = a.settings.ColdConcurrency
	a.answers = 0
	a.evidence = 0
}

// sight takes a boot ID; a change means that a new process started, which is cold.
func (a *Admitter) sight(bootID string) {
	if bootID == "" || bootID == a.formerID {
		return
	}
	if a.bootID != "" && a.bootID != bootID {
		a.formerID, a.bootID = a.bootID, bootID
		a.selfLeaving = false
		a.settleDrain()
		a.resetPause()
		a.fire(eventChill)
		a.chill()
		a.announce()
		return
	}
	if a.bootID == "" {
		a.bootID = bootID
		a.announce()
		if a.announced.BootID == bootID {
			a.resume()
		}
		a.announced = broker.ServerState{}
	}
	if a.phase == broker.PhaseDown {
		a.resetPause()
	}
	a.seen()
}

// seen ends the phases in which nothing is known of the server.
func (a *Admitter) seen() {
	if a.phase == broker.PhaseUnknown || a.phase == broker.PhaseDown {
		a.fire(eventSight)
	}
}

// observe takes what is believed of a status answer.
func (a *Admitter) observe(status broker.BackendStatus, now time.Time) {
	a.sight(status.BootID)
	if status.BootID != a.bootID {
		return // it lags behind an answer of a newer process
	}
	switch {
	case status.Draining:
		a.leave(now)
	case a.selfLeaving && now.Sub(a.leavingAt) >= leavingMemory:
		a.selfLeaving = false
		a.settleDrain()
	}
}

// settleDrain brings the phase in line with the reasons for no new work.
func (a *Admitter) settleDrain() {
	if a.closedBy != broker.ReasonNone || a.selfLeaving {
		a.fire(eventLeave)
		return
	}
	a.fire(eventRestore)
}

func (a *Admitter) leave(now time.Time) {
	a.selfLeaving, a.leavingAt = true, now
	a.settleDrain()
	a.pump(now)
}

func (a *Admitter) resetPause() {
	a.backoff = 0
	a.pausedUntil = time.Time{}
}

func (a *Admitter) pause(now time.Time) {
	if now.Before(a.pausedUntil) {
		return // refusals of requests that were sent together count once
	}
	a.backoff = min(max(2*a.backoff, firstBackoff), maxBackoff)
	a.pausedUntil = now.Add(a.backoff)
}

func (a *Admitter) lose(now time.Time) {
	a.pause(now)
	a.fire(eventLose)
}

// learn takes what a dispatched request showed about the server.
func (a *Admitter) learn(kind string, result Result, now time.Time) {
	switch result.Verdict {
	case VerdictAnswered:
		a.answered(kind, result.Latency)
	case VerdictFailed:
		a.resetPause()
		a.suspectCold(1)
	case VerdictTimedOut:
		a.estimate.add(max(result.Latency, a.estimate.mean))
		a.suspectCold(1)
	case VerdictCancelled:
		if a.estimate.slow(kind, result.Latency) {
			a.estimate.add(result.Latency)
			a.suspectCold(1)
		}
	case VerdictShed:
		a.shed(now)
	case VerdictCold:
		a.pause(now)
		a.fire(eventChill)
		a.chill()
	case VerdictDraining:
		a.leave(now)
	case VerdictLost:
		if !a.verifying {
			a.verifying = true
			a.actions = append(a.actions, Action{Kind: ActionVerify})
		}
	case VerdictUnreachable:
		a.lose(now)
	}
}

// shed pauses and then keeps the concurrency below that at which the server refused.
func (a *Admitter) shed(now time.Time) {
	a.pause(now)
	a.ceiling, a.relief = max(len(a.running), 1), 0
}

// relieve raises the ceiling of a server that shed.
func (a *Admitter) relieve() {
	if a.ceiling == 0 {
		return
	}
	if a.relief++; a.relief < reliefAnswers {
		return
	}
	a.relief = 0
	if a.ceiling++; a.ceiling >= a.limit {
		a.ceiling = 0
	}
}

// answered takes an answer into the estimates and the ramp.
func (a *Admitter) answered(kind string, latency time.Duration) {
	a.resetPause()
	a.relieve()
	a.estimate.add(latency)
	a.seen()
	if a.estimate.slow(kind, latency) {
		a.estimate.drift(kind, latency)
		a.suspectCold(1)
		return
	}
	a.evidence = 0
	if a.phase == broker.PhaseWarm {
		a.estimate.addWarm(kind, latency)
		return
	}
	a.answers++
	if a.answers >= a.settings.ColdSuccesses {
		a.climb()
	}
}

// climb makes one step of the ramp.
func (a *Admitter) climb() {
	a.answers = 0
	a.limit = min(a.limit+a.settings.ColdStep, a.settings.Slots)
	a.announce()
	if a.limit >= a.settings.Slots {
		a.fire(eventWarm)
		return
	}
	a.fire(eventClimb)
}

// suspectCold counts signs of a cold start.
func (a *Admitter) suspectCold(weight int) {
	a.evidence += weight
	if a.evidence < coldEvidence {
		return
	}
	a.evidence = 0
	if a.phase == broker.PhaseWarm || a.phase == broker.PhaseRamping || a.phase == broker.PhaseCold {
		a.fire(eventChill)
		a.chill()
	}
}

// suspectOverdue counts requests that have been running far longer than while warm, so that a server that has become
// cold is known before its first slow answers.
func (a *Admitter) suspectOverdue(now time.Time) {
	overdue := 0
	for i := range a.running {
		if !a.running[i].probe && a.estimate.slow(a.running[i].kind, now.Sub(a.running[i].started)) {
			overdue++
		}
	}
	if overdue > 0 && a.evidence+overdue >= coldEvidence {
		a.suspectCold(overdue)
	}
}

// resume continues in the phase that the previous owner announced.
func (a *Admitter) resume() {
	state := a.announced
	a.announced = broker.ServerState{}
	switch state.Phase {
	case broker.PhaseWarm:
		a.fire(eventWarm)
	case broker.PhaseRamping:
		a.limit = min(max(state.Limit, a.settings.ColdConcurrency), a.settings.Slots)
		a.fire(eventClimb)
	case broker.PhaseCold:
		a.fire(eventSight)
	}
}
