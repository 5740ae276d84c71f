package accountant

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

// testShares are small enough for a few connections to fill.
var testShares = Shares{Requests: 400 << 10, Inbound: 4}

// closable is the owner of a connection that releases everything as soon as it is told to.
type closable struct {
	*Connection

	interrupted, closed, unread bool
}

// Interrupt implements Socket.
func (c *closable) Interrupt() { c.interrupted = true }

// CloseNow implements Socket.
func (c *closable) CloseNow() { c.closed = true }

// Unread implements Socket.
func (c *closable) Unread() bool { return c.unread }

func open(t *testing.T, account *Account) *closable {
	t.Helper()
	c := &closable{}
	entry, err := account.Open(false, c)
	if err != nil {
		t.Fatal(err)
	}
	c.Connection = entry
	return c
}

func kindOf(err error) ErrorKind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}

func check[T comparable](t *testing.T, what string, got, want T) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

func ignore(Eviction) {}

// TestOpenClosesLongestWaiting guards against a full host that refuses whoever comes last, or closes connections with requests
// in progress.
func TestOpenClosesLongestWaiting(t *testing.T) {
	tests := []struct {
		name   string
		phases [4]func(*Connection) // of connections that were opened a second apart
		want   int                  // the one that gives way, -1 for none
	}{
		{"idle", [4]func(*Connection){wait, wait, wait, wait}, 0},
		{"oldest in progress", [4]func(*Connection){run, wait, wait, wait}, 1},
		{"head", [4]func(*Connection){run, run, head, wait}, 2},
		{"body", [4]func(*Connection){run, run, body, run}, 2},
		{"refused before older ones", [4]func(*Connection){wait, wait, wait, refuse}, 3},
		{"an answer that was just begun", [4]func(*Connection){run, run, run, answer}, -1},
		{"an answer that is not read", [4]func(*Connection){run, answer, run, run}, 1},
		{"all in progress", [4]func(*Connection){run, run, run, run}, -1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				account := New(testShares, ignore)
				var opened [4]*closable
				for i, enter := range tt.phases {
					opened[i] = open(t, account)
					enter(opened[i].Connection)
					time.Sleep(3 * time.Second)
				}
				_, err := account.Open(false, &closable{})
				check(t, "refused", kindOf(err) == KindFull, tt.want < 0)
				for i, c := range opened {
					check(t, "closed", c.closed, i == tt.want)
				}
				check(t, "connections", account.Connections(), 4)
			})
		})
	}
}

func wait(*Connection)     {}
func head(c *Connection)   { _ = c.Received(1) }
func run(c *Connection)    { _ = c.Begin() }
func refuse(c *Connection) { c.Refuse() }

func body(c *Connection) {
	_ = c.Begin()
	_ = c.StartBody()
}

// answer enters the phase in which the caller does not read.
func answer(c *Connection) {
	_ = c.Begin()
	_ = c.enter(PhaseAnswering)
}

// TestCallersLeaveConnections guards against a host that other hosts take for gone, because callers have requests in progress on all
// of its connections.
func TestCallersLeaveConnections(t *testing.T) {
	const sockets = 2 * othersPart
	account := New(Shares{Requests: 1 << 20, Inbound: sockets}, ignore)
	openAs := func(caller bool) error {
		c, err := account.Open(caller, &closable{})
		if err == nil {
			run(c)
		}
		return err
	}
	for range sockets - sockets/othersPart {
		check(t, "caller", openAs(true), nil)
	}
	check(t, "one caller more", kindOf(openAs(true)), KindFull)
	for range sockets / othersPart {
		check(t, "another host", openAs(false), nil)
	}
	check(t, "one host more", kindOf(openAs(false)), KindFull)
}

// TestEvictedRequestDoesNotRun guards against a request that runs although its connection has been closed for others.
func TestEvictedRequestDoesNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		account := New(Shares{Requests: 1 << 20, Inbound: 1}, ignore)
		first := open(t, account)
		if err := first.Received(100); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		open(t, account)
		check(t, "begin", kindOf(first.Begin()), KindEvicted)
		check(t, "further bytes", kindOf(first.Received(1)), KindEvicted)
		first.Close()
		check(t, "connections", account.Connections(), 1)
	})
}

// TestStoppedBodyGivesWay guards against bodies that stop short and keep the memory of those that arrive.
func TestStoppedBodyGivesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var evicted []Eviction
		account := New(testShares, func(e Eviction) { evicted = append(evicted, e) })
		small, large, fresh := open(t, account), open(t, account), open(t, account)
		for _, c := range []*closable{small, large} {
			body(c.Connection)
		}
		check(t, "small", small.Grow(50<<10), nil)
		check(t, "large", large.Grow(350<<10), nil)
		time.Sleep(time.Second)
		body(fresh.Connection)
		check(t, "fresh", fresh.Grow(100<<10), nil)
		check(t, "evictions", len(evicted), 1)
		check(t, "evicted", evicted[0], Eviction{Phase: PhaseBody, Age: time.Second, Bytes: 350 << 10})
		check(t, "large interrupted", large.interrupted, true)
		check(t, "small interrupted", small.interrupted, false)
		check(t, "leaving", account.leaving, 350<<10)
		large.Refuse()
		check(t, "leaving once it has noticed", account.leaving, 0)
		check(t, "used", account.Used(), 150<<10)
		check(t, "phase", large.Phase(), PhaseClosing)
		large.Close()
		check(t, "connections", account.Connections(), 2)
	})
}

// TestEvictionsWaitForMemory guards against memory that is given out faster than those that gave way release theirs.
func TestEvictionsWaitForMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		account := New(testShares, ignore)
		first, second, third := open(t, account), open(t, account), open(t, account)
		for _, c := range []*closable{first, second} {
			body(c.Connection)
			check(t, "stopped", c.Grow(200<<10), nil)
		}
		time.Sleep(time.Second)
		body(third.Connection)
		check(t, "in place of one", third.Grow(200<<10), nil)
		check(t, "in place of another", kindOf(third.Grow(200<<10)), KindFull)
		check(t, "used", account.Used(), 600<<10)
	})
}

// TestArrivingBodiesKeepTheirMemory guards against a crowd that comes back at once, of which none completes because each takes
// the memory of another.
func TestArrivingBodiesKeepTheirMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		account := New(testShares, ignore)
		first, second := open(t, account), open(t, account)
		body(first.Connection)
		body(second.Connection)
		check(t, "first", first.Grow(400<<10), nil)
		time.Sleep(progressTime / 2)
		check(t, "second", kindOf(second.Grow(100<<10)), KindFull)
		check(t, "first interrupted", first.interrupted, false)
	})
}

// TestCompleteRequestGetsRoom guards against ordinary requests that are refused because bodies are arriving.
func TestCompleteRequestGetsRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		account := New(testShares, ignore)
		arriving, complete := open(t, account), open(t, account)
		body(arriving.Connection)
		run(complete.Connection)
		check(t, "arriving", arriving.Grow(400<<10), nil)
		time.Sleep(time.Millisecond)
		lease, err := complete.Lease(50 << 10)
		check(t, "complete", err, nil)
		check(t, "arriving interrupted", arriving.interrupted, true)
		arriving.Close()
		check(t, "used", account.Used(), 50<<10)
		lease.Release()
		check(t, "used at the end", account.Used(), 0)
	})
}

// TestLargeRequestsLeaveRoom guards against requests with large bodies that take all memory while they run.
func TestLargeRequestsLeaveRoom(t *testing.T) {
	account := New(testShares, ignore)
	c := open(t, account)
	run(c.Connection)
	check(t, "body", c.Grow(200<<10), nil)
	lease, err := c.Lease(100 << 10)
	check(t, "first large request", err, nil)
	check(t, "arrived bytes", c.bytes.Load(), 0)
	check(t, "another large one fits", account.Fits(64<<10, true), false)
	check(t, "a small one fits", account.Fits(64<<10, false), true)
	_, err = open(t, account).Lease(64 << 10)
	check(t, "small request", err, nil)
	lease.Retain()
	lease.Release()
	check(t, "used while an attempt goes on", account.Used(), 364<<10)
	lease.Extend(1 << 10)
	lease.Release()
	check(t, "used at the end", account.Used(), 64<<10)
}

// TestHeads guards against heads that take more memory than their bytes, and against ordinary ones that are counted at all.
func TestHeads(t *testing.T) {
	tests := []struct {
		name  string
		reads []int
		want  int64
	}{
		{"ordinary", []int{500}, 0},
		{"free part", []int{freeHeadBytes}, 0},
		{"at once", []int{4 << 10}, headFactor * (4<<10 - freeHeadBytes)},
		{"in pieces", []int{1 << 10, 1 << 10, 1 << 10, 1}, headFactor * (1<<10 + 1)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			account := New(testShares, ignore)
			c := open(t, account)
			for _, n := range tt.reads {
				check(t, "received", c.Received(n), nil)
			}
			check(t, "used", account.Used(), tt.want)
			run(c.Connection)
			check(t, "bytes of a body", c.Received(1<<20), nil)
			check(t, "used with a body", account.Used(), tt.want)
			c.End()
			check(t, "used at the end", account.Used(), 0)
			check(t, "phase", c.Phase(), PhaseIdle)
			check(t, "next head", c.Received(freeHeadBytes), nil)
			check(t, "used with the next head", account.Used(), 0)
		})
	}
}

// TestDivide guards against shares that exceed a machine, and against ones that callers inside the limits would meet: bodies
// have at most 256 KiB, heads 16 KiB, and the busiest site has 112 requests/s at three hosts or more.
func TestDivide(t *testing.T) {
	tests := []struct {
		name        string
		memory      int64
		descriptors int
		want        Shares
	}{
		{"small machine", 184 << 20, 4100, Shares{Collected: 125409635, Answers: 12058624, Requests: 48234496, Inbound: 736, Backends: 1046}},
		{"today's machine", 284 << 20, 4100, Shares{Collected: 193567075, Answers: 18612224, Requests: 74448896, Inbound: 1136, Backends: 1462}},
		{"large machine", 536 << 20, 8192, Shares{Collected: 365323855, Answers: 35127296, Requests: 140509184, Inbound: 2144, Backends: 2997}},
		{"few descriptors", 284 << 20, 500, Shares{Collected: 193567075, Answers: 18612224, Requests: 74448896, Inbound: 150, Backends: 112}},
		{"no limits", 0, 0, Shares{Collected: 697932170, Answers: 64 << 20, Requests: 256 << 20, Inbound: 1948, Backends: 1461}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := Divide(tt.memory, tt.descriptors)
			check(t, "shares", got, tt.want)
			if tt.descriptors > 0 {
				if sockets := got.Inbound + got.Backends; sockets > tt.descriptors-reservedDescriptors {
					t.Errorf("sockets: got %d, want at most %d", sockets, tt.descriptors-reservedDescriptors)
				}
				if held := got.Collected + int64(got.Inbound*unreadBytes); held > tt.memory {
					t.Errorf("memory: got %d, want at most %d", held, tt.memory)
				}
			}
		})
	}
}
