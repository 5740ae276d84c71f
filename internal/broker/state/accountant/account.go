package accountant

import (
	"sync"
	"sync/atomic"
	"time"
)

// Account is the memory of requests and the number of inbound connections. Its methods may be called concurrently.
type Account struct {
	memory    int64 // maximum of used
	sockets   int   // maximum number of connections
	onEvict   func(Eviction)
	createdAt time.Time

	used   atomic.Int64
	leased atomic.Int64 // part of used that requests in progress have

	mu          sync.Mutex
	connections map[*Connection]struct{}
	callers     int   // connections of callers
	leaving     int64 // memory of evicted connections that they have not released yet
}

const (
	// leavingPart is the divisor of the memory that evicted connections may have until they notice.
	leavingPart = 4
	// othersPart is the divisor of the connections that are never for callers: status checks, look-ups and other hosts get in
	// although callers have requests in progress on all of theirs.
	othersPart = 8
	// smallPart is the divisor of the memory that large requests in progress leave to others.
	smallPart = 4
	// progressTime is how long a request may take to arrive without giving way to others that are arriving.
	progressTime = 250 * time.Millisecond
)

// Eviction describes a connection that had to give way.
type Eviction struct {
	Phase Phase
	Age   time.Duration // in this phase
	Bytes int64         // memory that it held
}

// New returns an empty account; onEvict is called for each connection that has to give way.
func New(shares Shares, onEvict func(Eviction)) *Account {
	return &Account{
		memory: shares.Requests, sockets: shares.Inbound, onEvict: onEvict, createdAt: time.Now(),
		connections: make(map[*Connection]struct{}),
	}
}

// Used returns the memory in use, in bytes.
func (a *Account) Used() int64 { return a.used.Load() }

// Connections returns the number of open connections.
func (a *Account) Connections() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.connections)
}

// Answering returns the number of connections whose requests have an answer that has not been sent, and of callers also those
// with a request in progress.
func (a *Account) Answering() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	count := 0
	for c := range a.connections {
		switch c.Phase() {
		case PhaseSending, PhaseAnswering:
			count++
		case PhaseRunning:
			if c.caller {
				count++
			}
		}
	}
	return count
}

// now returns the time since the account was created. The time of day may jump.
func (a *Account) now() time.Duration { return time.Since(a.createdAt) }

// Open adds a connection of a caller or of another client. If there are too many, the one that has made no progress for longest is
// closed; without such a connection, Open fails with KindFull.
func (a *Account) Open(caller bool, socket Socket) (*Connection, error) {
	now := a.now()
	c := &Connection{account: a, caller: caller, socket: socket}
	c.state.Store(uint64(newState(PhaseIdle, now)))
	a.mu.Lock()
	by := rank(nil)
	switch {
	case caller && a.callers >= a.sockets-a.sockets/othersPart:
		by = rankCallersByAge
	case len(a.connections) >= a.sockets:
		by = rankByAge
	}
	var victim *Connection
	if by != nil {
		if victim = a.evict(by, now); victim == nil {
			a.mu.Unlock()
			return nil, &Error{Op: "open a connection", Kind: KindFull}
		}
		a.forget(victim)
	}
	a.connections[c] = struct{}{}
	if caller {
		a.callers++
	}
	a.mu.Unlock()
	if victim != nil {
		victim.socket.CloseNow()
	}
	return c, nil
}

// rank is the order in which connections give way, the highest first; one with zero never does.
type rank func(c *Connection, current state, now time.Duration) float64

// closingRank is above the age of any other connection, in seconds: nothing is lost with one that has been refused.
const closingRank = 1e9

// rankByAge prefers those that have made no progress for longest.
func rankByAge(_ *Connection, current state, now time.Duration) float64 {
	age := current.age(now).Seconds()
	if current.phase() == PhaseClosing {
		age += closingRank
	}
	return age
}

// rankCallersByAge is rankByAge without connections that are not of callers.
func rankCallersByAge(c *Connection, current state, now time.Duration) float64 {
	if !c.caller {
		return 0
	}
	return rankByAge(c, current, now)
}

// rankByUse prefers those that have held most memory for longest.
func rankByUse(c *Connection, current state, now time.Duration) float64 {
	return float64(c.bytes.Load()) * current.age(now).Seconds()
}

// rankBySlowness is rankByUse without those that may still be arriving.
func rankBySlowness(c *Connection, current state, now time.Duration) float64 {
	if current.age(now) < progressTime {
		return 0
	}
	return rankByUse(c, current, now)
}

// evict marks the connection with the highest rank as evicted and returns it, nil if none may give way; the caller holds mu.
func (a *Account) evict(by rank, now time.Duration) *Connection {
	for {
		var victim *Connection
		var seen state
		highest := 0.0
		for c := range a.connections {
			current := c.load()
			if !current.mayGiveWay(now) {
				continue
			}
			if r := by(c, current, now); r > highest {
				victim, seen, highest = c, current, r
			}
		}
		if victim == nil {
			return nil
		}
		if seen.phase() == PhaseIdle && victim.socket.Unread() {
			// The next request has begun to arrive.
			victim.state.CompareAndSwap(uint64(seen), uint64(newState(PhaseHead, now)))
			continue
		}
		// A connection that has moved on meanwhile stays.
		if victim.state.CompareAndSwap(uint64(seen), uint64(newState(phaseEvicted, now))) {
			victim.leaving = victim.bytes.Load()
			a.leaving += victim.leaving
			a.onEvict(Eviction{Phase: seen.phase(), Age: seen.age(now), Bytes: victim.leaving})
			return victim
		}
	}
}

// take adds to the memory in use unless that would exceed the limit.
func (a *Account) take(added int64) bool {
	for {
		used := a.used.Load()
		if used+added > a.memory {
			return false
		}
		if a.used.CompareAndSwap(used, used+added) {
			return true
		}
	}
}

// reserve takes memory for a connection. Without room, connections are evicted in the order of by. It fails with KindEvicted
// if that is the connection itself, and with KindFull if none may give way.
func (a *Account) reserve(c *Connection, added int64, by rank) error {
	if a.take(added) {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for !a.take(added) {
		if c.Evicted() {
			return &Error{Op: "reserve memory", Kind: KindEvicted}
		}
		if a.used.Load()-a.leaving+added <= a.memory {
			a.used.Add(added) // those that were evicted release theirs as soon as they run
			return nil
		}
		victim := (*Connection)(nil)
		if a.leaving < a.memory/leavingPart {
			victim = a.evict(by, a.now())
		}
		if victim == nil {
			return &Error{Op: "reserve memory", Kind: KindFull}
		}
		if victim != c {
			victim.socket.Interrupt()
		}
	}
	return nil
}

// Fits reports whether a request could run with the given memory if all those that are arriving gave way. Requests in progress
// that are large leave a quarter to others.
func (a *Account) Fits(bytes int64, large bool) bool {
	limit := a.memory
	if large {
		limit -= a.memory / smallPart
	}
	return a.leased.Load()+bytes <= limit
}

// release returns memory.
func (a *Account) release(bytes int64) { a.used.Add(-bytes) }

// remove forgets a connection that holds nothing any more.
func (a *Account) remove(c *Connection) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.forget(c)
}

// forget removes a connection; the caller holds mu.
func (a *Account) forget(c *Connection) {
	if _, ok := a.connections[c]; !ok {
		return
	}
	delete(a.connections, c)
	if c.caller {
		a.callers--
	}
}

// settle records that an evicted connection has released its memory.
func (a *Account) settle(c *Connection) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leaving -= c.leaving
	c.leaving = 0
}
