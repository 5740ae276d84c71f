package admitter

import (
	"context"
	"time"

	"github.com/looplab/fsm"

	"github.com/yuccarock/yuccarock/internal/broker"
)

// Events of the phase machine.
const (
	eventReachable   = "reachable"   // the server reported a boot ID or answered while unknown or down
	eventCold        = "cold"        // signs of a cold start, or a new boot ID
	eventRamp        = "ramp"        // a step of the ramp below all slots
	eventWarm        = "warm"        // the ramp reached all slots
	eventUnreachable = "unreachable" // the server cannot be reached
	eventDrain       = "drain"       // the server or the configuration excludes new requests
	eventRestore     = "restore"     // new requests are allowed again
)

const (
	// coldSignThreshold is the number of successive slow answers or errors after which a server counts as cold. With 1%
	// stragglers, four in a row are expected once in 10^8 requests.
	coldSignThreshold = 4
	// drainHoldTime is how long a status without the draining flag is ignored after the server last reported draining,
	// because a status may lag behind refusals and answers.
	drainHoldTime = 5 * time.Second
	// answersPerCeilingStep is the number of answers after which the ceiling of a server that shed rises by one, so that
	// a server with less capacity than its slots sheds only one request in 32.
	answersPerCeilingStep = 32
	// firstBackoff and maxBackoff bound the pause after the server refused or could not be reached. The pause doubles
	// until an answer.
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
		{Name: eventReachable, Src: []string{unknown, down}, Dst: cold},
		{Name: eventCold, Src: []string{unknown, cold, ramping, warm, down}, Dst: cold},
		{Name: eventRamp, Src: []string{unknown, cold, ramping}, Dst: ramping},
		{Name: eventWarm, Src: []string{unknown, cold, ramping}, Dst: warm},
		{Name: eventUnreachable, Src: []string{unknown, cold, ramping, warm}, Dst: down},
		{Name: eventDrain, Src: []string{unknown, cold, ramping, warm, down}, Dst: draining},
		{Name: eventRestore, Src: []string{draining}, Dst: cold},
	}
	return fsm.NewFSM(unknown, events, fsm.Callbacks{
		"enter_state": func(_ context.Context, e *fsm.Event) { a.enterPhase(broker.Phase(e.Dst)) },
	})
}

// fire sends an event to the state machine; an event without a transition from the current phase has no effect.
func (a *Admitter) fire(event string) {
	if a.machine.Can(event) {
		// Callbacks send no events, so the only possible error is "no transition", which is no fault.
		_ = a.machine.Event(context.Background(), event)
	}
}

func (a *Admitter) enterPhase(phase broker.Phase) {
	a.phase = phase
	switch phase {
	case broker.PhaseCold:
		a.resetToCold()
	case broker.PhaseWarm:
		a.limit = a.settings.Slots
	}
	a.coldSigns = 0
	a.announce()
}

// resetToCold sets the limits of a cold server.
func (a *Admitter) resetToCold() {
	a.limit = a.settings.ColdConcurrency
	a.rampAnswers = 0
	a.coldSigns = 0
}

// observeBootID records a reported boot ID; a change means that a new process started, which is cold.
func (a *Admitter) observeBootID(bootID string) {
	if bootID == "" || bootID == a.previousBootID {
		return
	}
	if a.bootID != "" && a.bootID != bootID {
		a.previousBootID, a.bootID = a.bootID, bootID
		a.serverDraining = false
		a.updateDraining()
		a.resetPause()
		a.fire(eventCold)
		a.resetToCold()
		a.announce()
		return
	}
	if a.bootID == "" {
		a.bootID = bootID
		a.announce()
		if a.previousOwnerState.BootID == bootID {
			a.resumePhase()
		}
		a.previousOwnerState = broker.ServerState{}
	}
	if a.phase == broker.PhaseDown {
		a.resetPause()
	}
	a.markReachable()
}

// markReachable ends the phases unknown and down.
func (a *Admitter) markReachable() {
	if a.phase == broker.PhaseUnknown || a.phase == broker.PhaseDown {
		a.fire(eventReachable)
	}
}

// applyStatus applies the boot ID and the draining flag of a status.
func (a *Admitter) applyStatus(status broker.BackendStatus, now time.Time) {
	a.observeBootID(status.BootID)
	if status.BootID != a.bootID {
		return // the status is older than an answer of a newer process
	}
	switch {
	case status.Draining:
		a.markDraining(now)
	case a.serverDraining && now.Sub(a.drainingSeenAt) >= drainHoldTime:
		a.serverDraining = false
		a.updateDraining()
	}
}

// updateDraining enters or leaves the draining phase, as the configuration and the server require.
func (a *Admitter) updateDraining() {
	if a.closedReason != broker.ReasonNone || a.serverDraining {
		a.fire(eventDrain)
		return
	}
	a.fire(eventRestore)
}

func (a *Admitter) markDraining(now time.Time) {
	a.serverDraining, a.drainingSeenAt = true, now
	a.updateDraining()
	a.dispatchQueued(now)
}

func (a *Admitter) resetPause() {
	a.backoff = 0
	a.pausedUntil = time.Time{}
}

func (a *Admitter) pause(now time.Time) {
	if now.Before(a.pausedUntil) {
		return // refusals of concurrent requests count once
	}
	a.backoff = min(max(2*a.backoff, firstBackoff), maxBackoff)
	a.pausedUntil = now.Add(a.backoff)
}

func (a *Admitter) markUnreachable(now time.Time) {
	a.pause(now)
	a.fire(eventUnreachable)
}

// applyResult updates estimates, limits and phase from the result of a dispatched request.
func (a *Admitter) applyResult(kind string, result Result, now time.Time) {
	switch result.Verdict {
	case VerdictAnswered:
		a.recordAnswer(kind, result.Latency)
	case VerdictFailed:
		a.resetPause()
		a.addColdSigns(1)
	case VerdictTimedOut:
		a.estimate.add(max(result.Latency, a.estimate.mean))
		a.addColdSigns(1)
	case VerdictCancelled:
		if a.estimate.isSlow(kind, result.Latency) {
			a.estimate.add(result.Latency)
			a.addColdSigns(1)
		}
	case VerdictShed:
		a.recordShed(now)
	case VerdictCold:
		a.pause(now)
		a.fire(eventCold)
		a.resetToCold()
	case VerdictDraining:
		a.markDraining(now)
	case VerdictConnectionLost:
		if !a.verifying {
			a.verifying = true
			a.actions = append(a.actions, Action{Kind: ActionVerify})
		}
	case VerdictUnreachable:
		a.markUnreachable(now)
	}
}

// recordShed pauses dispatching and then limits the concurrency to less than that at which the server shed.
func (a *Admitter) recordShed(now time.Time) {
	a.pause(now)
	a.ceiling, a.ceilingAnswers = max(len(a.running), 1), 0
}

// raiseCeiling counts an answer towards raising the ceiling of a server that shed.
func (a *Admitter) raiseCeiling() {
	if a.ceiling == 0 {
		return
	}
	if a.ceilingAnswers++; a.ceilingAnswers < answersPerCeilingStep {
		return
	}
	a.ceilingAnswers = 0
	if a.ceiling++; a.ceiling >= a.limit {
		a.ceiling = 0
	}
}

// recordAnswer updates the estimates and the ramp from an answer.
func (a *Admitter) recordAnswer(kind string, latency time.Duration) {
	a.resetPause()
	a.raiseCeiling()
	a.estimate.add(latency)
	a.markReachable()
	if a.estimate.isSlow(kind, latency) {
		a.estimate.driftWarm(kind, latency)
		a.addColdSigns(1)
		return
	}
	a.coldSigns = 0
	if a.phase == broker.PhaseWarm {
		a.estimate.addWarm(kind, latency)
		return
	}
	a.rampAnswers++
	if a.rampAnswers >= a.settings.ColdSuccesses {
		a.stepRamp()
	}
}

// stepRamp raises the limit by one step of the ramp.
func (a *Admitter) stepRamp() {
	a.rampAnswers = 0
	a.limit = min(a.limit+a.settings.ColdStep, a.settings.Slots)
	a.announce()
	if a.limit >= a.settings.Slots {
		a.fire(eventWarm)
		return
	}
	a.fire(eventRamp)
}

// addColdSigns counts signs of a cold start and makes the server cold at coldSignThreshold.
func (a *Admitter) addColdSigns(count int) {
	a.coldSigns += count
	if a.coldSigns < coldSignThreshold {
		return
	}
	a.coldSigns = 0
	if a.phase == broker.PhaseWarm || a.phase == broker.PhaseRamping || a.phase == broker.PhaseCold {
		a.fire(eventCold)
		a.resetToCold()
	}
}

// checkOverdue counts running requests that already took far longer than while warm, to detect a server that became
// cold before its first slow answers arrive.
func (a *Admitter) checkOverdue(now time.Time) {
	overdue := 0
	for i := range a.running {
		if !a.running[i].probe && a.estimate.isSlow(a.running[i].kind, now.Sub(a.running[i].started)) {
			overdue++
		}
	}
	if overdue > 0 && a.coldSigns+overdue >= coldSignThreshold {
		a.addColdSigns(overdue)
	}
}

// resumePhase enters the phase that the previous owner announced.
func (a *Admitter) resumePhase() {
	state := a.previousOwnerState
	a.previousOwnerState = broker.ServerState{}
	switch state.Phase {
	case broker.PhaseWarm:
		a.fire(eventWarm)
	case broker.PhaseRamping:
		a.limit = min(max(state.Limit, a.settings.ColdConcurrency), a.settings.Slots)
		a.fire(eventRamp)
	case broker.PhaseCold:
		a.fire(eventReachable)
	}
}
