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
	// KindState means that the transition is not allowed in the current state.
	KindState ErrorKind = "state"
	// KindDeadline means that requests were still in progress at the deadline.
	KindDeadline ErrorKind = "deadline"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error returns the failed operation and the cause.
func (e *Error) Error() string { return fmt.Sprintf("could not %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Drainer is the lifecycle of a node with the number of its requests in progress.
type Drainer struct {
	machine  *fsm.FSM
	onChange func(from, to string)

	accepting atomic.Bool
	refusing  atomic.Bool
	active    atomic.Int64
	idle      chan struct{} // closed when no request is active after Refuse
	closeIdle sync.Once
}

// New returns a drainer in state starting; onChange is called on each change of state.
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

// Serve changes the state to serving; requests are accepted from now on.
func (d *Drainer) Serve() error {
	if err := d.transition(eventServe); err != nil {
		return err
	}
	d.accepting.Store(true)
	return nil
}

// Leave changes the state to leaving. Requests are accepted until Refuse, because callers use the address of this node
// until its time to live expires.
func (d *Drainer) Leave() error { return d.transition(eventLeave) }

// Leaving reports whether the node is leaving or stopped.
func (d *Drainer) Leaving() bool {
	state := d.machine.Current()
	return state == StateLeaving || state == StateStopped
}

// Refuse makes Begin return false from now on.
func (d *Drainer) Refuse() {
	d.accepting.Store(false)
	d.refusing.Store(true)
	d.signalIdle()
}

// Begin counts a request as in progress and reports whether it may run; if so, the caller must call End afterwards.
func (d *Drainer) Begin() bool {
	// The request is counted before the check, because otherwise Wait could miss it between check and count.
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

// Wait waits after Refuse until no request is in progress and changes the state to stopped; it returns an Error of
// KindDeadline if ctx is done first.
func (d *Drainer) Wait(ctx context.Context) error {
	select {
	case <-d.idle:
		return d.transition(eventStop)
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

func (d *Drainer) transition(event string) error {
	if err := d.machine.Event(context.Background(), event); err != nil {
		return &Error{Op: event, Kind: KindState, Err: err}
	}
	return nil
}
