package drainer

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/looplab/fsm"
)

// States of a node.
const (
	StateStarting = "starting"
	StateServing  = "serving"
	StateLeaving  = "leaving"
	StateStopped  = "stopped"
)

const (
	eventServe = "serve"
	eventLeave = "leave"
	eventStop  = "stop"
)

// ErrorKind classifies an Error.
type ErrorKind string

// Kinds of Error.
const (
	// KindState means that the lifecycle does not allow the step now.
	KindState ErrorKind = "state"
	// KindDeadline means that requests were still in progress when the time ran out.
	KindDeadline ErrorKind = "deadline"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error returns what could not be done and why.
func (e *Error) Error() string { return fmt.Sprintf("could not %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Drainer is the lifecycle of one node with its count of requests in progress.
type Drainer struct {
	machine  *fsm.FSM
	onChange func(from, to string)

	accepting atomic.Bool
	refusing  atomic.Bool
	active    atomic.Int64
	idle      chan struct{} // closed once nothing is active after Refuse
	closeIdle sync.Once
}

// New returns a drainer in state starting; onChange is called on every change of state.
func New(onChange func(from, to string)) *Drainer {
	d := &Drainer{onChange: onChange, idle: make(chan struct{})}
	d.machine = fsm.NewFSM(StateStarting, fsm.Events{
		{Name: eventServe, Src: []string{StateStarting}, Dst: StateServing},
		{Name: eventLeave, Src: []string{StateStarting, StateServing}, Dst: StateLeaving},
		{Name: eventStop, Src: []string{StateLeaving}, Dst: StateStopped},
	}, fsm.Callbacks{"enter_state": func(_ context.Context, e *fsm.Event) { d.onChange(e.Src, e.Dst) }})
	return d
}

// State returns the current state.
func (d *Drainer) State() string { return d.machine.Current() }

// Serve ends the start: requests are accepted from now on.
func (d *Drainer) Serve() error {
	if err := d.step(eventServe); err != nil {
		return err
	}
	d.accepting.Store(true)
	return nil
}

// Leave starts the planned stop; requests are still accepted until Refuse, because callers keep the
// address for its time to live.
func (d *Drainer) Leave() error { return d.step(eventLeave) }

// Leaving returns whether the planned stop has started.
func (d *Drainer) Leaving() bool {
	state := d.machine.Current()
	return state == StateLeaving || state == StateStopped
}

// Refuse makes Begin fail from now on.
func (d *Drainer) Refuse() {
	d.accepting.Store(false)
	d.refusing.Store(true)
	d.signalIdle()
}

// Begin counts a request as in progress and returns whether it may run; End must follow if so.
func (d *Drainer) Begin() bool {
	// Counting before the check closes the gap in which Wait could miss a request.
	d.active.Add(1)
	if d.accepting.Load() {
		return true
	}
	d.End()
	return false
}

// End counts a request as finished.
func (d *Drainer) End() {
	d.active.Add(-1)
	d.signalIdle()
}

// Active returns the number of requests in progress.
func (d *Drainer) Active() int { return int(d.active.Load()) }

// Wait returns once no request is in progress after Refuse, or an error of kind deadline when ctx ends.
func (d *Drainer) Wait(ctx context.Context) error {
	select {
	case <-d.idle:
		return d.step(eventStop)
	case <-ctx.Done():
		return &Error{
			Op: "finish the requests in progress", Kind: KindDeadline,
			Err: fmt.Errorf("%d left: %w", d.Active(), ctx.Err()),
		}
	}
}

func (d *Drainer) signalIdle() {
	if d.refusing.Load() && d.active.Load() == 0 {
		d.closeIdle.Do(func() { close(d.idle) })
	}
}

func (d *Drainer) step(event string) error {
	if err := d.machine.Event(context.Background(), event); err != nil {
		return &Error{Op: event, Kind: KindState, Err: err}
	}
	return nil
}
