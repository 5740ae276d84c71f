package accountant

import (
	"sync/atomic"
	"time"
)

// Phase is what an inbound connection is in the middle of.
type Phase uint32

// Phases of a connection.
const (
	// PhaseIdle waits for the first byte of a request.
	PhaseIdle Phase = iota
	// PhaseHead is receiving the head of a request.
	PhaseHead
	// PhaseBody is receiving the body of a request, which nothing has been sent of.
	PhaseBody
	// PhaseRunning has a request in progress.
	PhaseRunning
	// PhaseSending has an answer that has not been handed to the operating system whole.
	PhaseSending
	// PhaseAnswering waits until the caller has read enough of the answer for the rest to be sent.
	PhaseAnswering
	// PhaseClosing was refused and waits for the caller to read that.
	PhaseClosing

	phaseEvicted
)

// answerGrace is how long a caller may leave an answer unread before its connection may be closed in favour of others.
const answerGrace = 5 * time.Second

var phaseNames = [...]string{"idle", "head", "body", "running", "sending", "answering", "closing", "evicted"}

// String returns the name of the phase.
func (p Phase) String() string { return phaseNames[p] }

// state is a phase and its start, the time since the account was created, in one word.
type state uint64

const phaseBits = 3

func newState(phase Phase, start time.Duration) state { return state(start)<<phaseBits | state(phase) }

func (s state) phase() Phase { return Phase(s & (1<<phaseBits - 1)) }

// age returns how long the phase has lasted.
func (s state) age(now time.Duration) time.Duration { return max(now-time.Duration(s>>phaseBits), 1) }

// mayGiveWay reports whether a connection may be closed in favour of others: no server may be working on its request.
func (s state) mayGiveWay(now time.Duration) bool {
	switch s.phase() {
	case PhaseIdle, PhaseHead, PhaseBody, PhaseClosing:
		return true
	case PhaseAnswering:
		return s.age(now) > answerGrace
	default:
		return false
	}
}

const (
	// freeHeadBytes is the part of a head that the memory of a connection has room for.
	freeHeadBytes = 2 << 10
	// headFactor is the memory that a byte of a head takes at most once it is parsed: a field of five bytes takes entries of
	// two maps, two strings and two slices.
	headFactor = 32
)

// Socket is the transport of a connection.
type Socket interface {
	// Interrupt ends the reads of the connection.
	Interrupt()
	// CloseNow closes the connection.
	CloseNow()
	// Unread reports whether bytes have arrived that have not been read. It does not block.
	Unread() bool
}

// Connection is the account of one inbound connection. Other than by an eviction, only its owner changes its phase.
type Connection struct {
	account *Account
	caller  bool
	socket  Socket

	state   atomic.Uint64
	bytes   atomic.Int64 // memory held
	head    atomic.Int64 // bytes of the head received
	leaving int64        // part of account.leaving, guarded by account.mu
}

func (c *Connection) load() state { return state(c.state.Load()) }

// Phase returns the present phase.
func (c *Connection) Phase() Phase { return c.load().phase() }

// Evicted reports whether the connection had to give way to others.
func (c *Connection) Evicted() bool { return c.Phase() == phaseEvicted }

// enter changes the phase and fails with KindEvicted if the connection has been evicted.
func (c *Connection) enter(phase Phase) error {
	for {
		current := c.load()
		if current.phase() == phaseEvicted {
			return &Error{Op: "enter phase " + phase.String(), Kind: KindEvicted}
		}
		if c.state.CompareAndSwap(uint64(current), uint64(newState(phase, c.account.now()))) {
			return nil
		}
	}
}

// Received counts bytes of a head that were read from the connection. It does nothing while a request is in progress.
func (c *Connection) Received(bytes int) error {
	switch c.Phase() {
	case PhaseIdle:
		if err := c.enter(PhaseHead); err != nil {
			return err
		}
	case PhaseHead:
	case phaseEvicted:
		return &Error{Op: "read a request", Kind: KindEvicted}
	default:
		return nil
	}
	head := c.head.Add(int64(bytes))
	counted := max(head-int64(bytes), freeHeadBytes)
	if head <= counted {
		return nil
	}
	return c.Grow(headFactor * (head - counted))
}

// HeadBytes returns how many bytes of a head were received.
func (c *Connection) HeadBytes() int64 { return c.head.Load() }

// Grow reserves memory for a request that is arriving. It fails with KindEvicted if the connection has to give way to others, and with
// KindFull if there is no room.
func (c *Connection) Grow(bytes int64) error {
	if err := c.account.reserve(c, bytes, rankBySlowness); err != nil {
		return err
	}
	c.bytes.Add(bytes)
	return nil
}

// Shrink returns a part of the memory.
func (c *Connection) Shrink(bytes int64) {
	c.bytes.Add(-bytes)
	c.account.release(bytes)
}

// Begin starts a request whose head has been read.
func (c *Connection) Begin() error { return c.enter(PhaseRunning) }

// StartBody starts the reception of the body; until EndBody the connection may have to give way.
func (c *Connection) StartBody() error { return c.enter(PhaseBody) }

// EndBody ends the reception of a complete body.
func (c *Connection) EndBody() error { return c.enter(PhaseRunning) }

// Answering calls write, in which the answer to a request may wait for the caller to read.
func (c *Connection) Answering(write func() (int, error)) (int, error) {
	before := c.Phase()
	if before != PhaseRunning && before != PhaseSending {
		return write()
	}
	if err := c.enter(PhaseAnswering); err != nil {
		return 0, err
	}
	n, err := write()
	if entered := c.enter(before); err == nil {
		err = entered
	}
	return n, err
}

// EndHandling ends the request of an answer that may be in a buffer. The connection does not give way before End.
func (c *Connection) EndHandling() {
	if c.Phase() != PhaseClosing {
		_ = c.enter(PhaseSending) // an evicted connection is being closed
	}
}

// Refuse starts the wait for the caller to read a refusal, after which the connection is closed.
func (c *Connection) Refuse() {
	c.releaseAll()
	c.state.Store(uint64(newState(PhaseClosing, c.account.now())))
}

// End ends a request whose answer has been sent; the connection waits for the next one.
func (c *Connection) End() {
	c.releaseAll()
	if c.Phase() != PhaseClosing {
		_ = c.enter(PhaseIdle) // an evicted connection is being closed
	}
}

// Close removes the connection from the account.
func (c *Connection) Close() {
	c.releaseAll()
	c.account.remove(c)
}

// releaseAll returns all memory.
func (c *Connection) releaseAll() {
	c.head.Store(0)
	if held := c.bytes.Swap(0); held != 0 {
		c.account.release(held)
	}
	if c.Evicted() {
		c.account.settle(c)
	}
}
