package leaser

import (
	"context"

	"github.com/looplab/fsm"
)

// Lifecycle is a state of a member's lease.
type Lifecycle string

// States of a lease.
const (
	LeaseIdle     Lifecycle = "idle"     // not a member
	LeaseWaiting  Lifecycle = "waiting"  // a member without a majority of grants so far
	LeaseHeld     Lifecycle = "held"     // granted by a majority
	LeaseLapsed   Lifecycle = "lapsed"   // the grants of a majority have expired
	LeaseReleased Lifecycle = "released" // leaving, excluded or removed
)

const (
	eventJoin    = "join"
	eventGrant   = "grant"
	eventLapse   = "lapse"
	eventRelease = "release"
)

func newLifecycle() *fsm.FSM {
	return fsm.NewFSM(string(LeaseIdle), fsm.Events{
		{Name: eventJoin, Src: []string{string(LeaseIdle)}, Dst: string(LeaseWaiting)},
		{Name: eventGrant, Src: []string{string(LeaseWaiting), string(LeaseLapsed)}, Dst: string(LeaseHeld)},
		{Name: eventLapse, Src: []string{string(LeaseHeld)}, Dst: string(LeaseLapsed)},
		{
			Name: eventRelease, Src: []string{string(LeaseWaiting), string(LeaseHeld), string(LeaseLapsed)},
			Dst: string(LeaseReleased),
		},
	}, nil)
}

// fire applies a lifecycle event and ignores it where the current state does not allow it.
func (c *Core) fire(event string) {
	if !c.lifecycle.Can(event) {
		return
	}
	from := Lifecycle(c.lifecycle.Current())
	// Can has ruled out the errors that a state machine without callbacks may return.
	_ = c.lifecycle.Event(context.Background(), event)
	c.emit(LifecycleChanged{From: from, To: Lifecycle(c.lifecycle.Current())})
}

// Lifecycle returns the state of the lease; only for the goroutine that calls Step.
func (c *Core) Lifecycle() Lifecycle { return Lifecycle(c.lifecycle.Current()) }
