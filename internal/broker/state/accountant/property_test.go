package accountant

import (
	"testing"

	"pgregory.net/rapid"
)

// maxStep is the most memory that the model takes at once, in bytes.
const maxStep = 150 << 10

var steps = []int64{1, 40 << 10, 100 << 10, maxStep}

// modelConnection is a connection with the memory that its owner believes to have.
type modelConnection struct {
	*Connection

	running, closed, unread bool
	leases                  []*Lease
}

// Interrupt implements Socket.
func (c *modelConnection) Interrupt() {}

// CloseNow implements Socket.
func (c *modelConnection) CloseNow() { c.closed = true }

// Unread implements Socket.
func (c *modelConnection) Unread() bool { return c.unread }

// TestAccountProperties guards against memory or connections that are lost or counted twice, against an account that exceeds its
// limits, and against a request in progress that has to give way, in any order of what connections do.
func TestAccountProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shares := Shares{Requests: 400 << 10, Inbound: 16}
		evictedInProgress := false
		account := New(shares, func(e Eviction) {
			evictedInProgress = evictedInProgress || e.Phase == PhaseRunning || e.Phase == PhaseSending
		})
		var connections []*modelConnection
		var extended int64 // by answers, which are taken without room
		open := func(caller bool) {
			c := &modelConnection{}
			entry, err := account.Open(caller, c)
			if err == nil {
				c.Connection = entry
				connections = append(connections, c)
			}
		}
		open(true)
		pick := func() *modelConnection {
			return connections[rapid.IntRange(0, len(connections)-1).Draw(t, "connection")]
		}
		end := func(c *modelConnection) {
			for _, lease := range c.leases {
				lease.Release()
			}
			c.leases, c.running = nil, false
		}
		t.Repeat(map[string]func(*rapid.T){
			"open": func(t *rapid.T) { open(rapid.Bool().Draw(t, "caller")) },
			// Evicted connections keep their memory until their owners act.
			"wait": func(*rapid.T) { account.createdAt = account.createdAt.Add(-progressTime) },
			"receive": func(t *rapid.T) {
				if c := pick(); c.bytes.Load() == 0 {
					_ = c.Received(rapid.IntRange(1, 4<<10).Draw(t, "bytes"))
				}
			},
			"begin": func(*rapid.T) {
				if c := pick(); !c.running && c.Phase() != PhaseClosing {
					c.running = c.Begin() == nil
				}
			},
			"body": func(t *rapid.T) {
				c := pick()
				if !c.running || len(c.leases) > 0 || c.bytes.Load() > maxStep || c.StartBody() != nil {
					return
				}
				if c.Grow(rapid.SampledFrom(steps).Draw(t, "bytes")) == nil && rapid.Bool().Draw(t, "ends") {
					_ = c.EndBody()
				}
			},
			"lease": func(t *rapid.T) {
				c := pick()
				if !c.running || c.Phase() != PhaseRunning || len(c.leases) > 0 {
					return
				}
				lease, err := c.Lease(rapid.SampledFrom(steps).Draw(t, "bytes"))
				if err != nil {
					return
				}
				c.leases = append(c.leases, lease)
				if rapid.Bool().Draw(t, "answer") {
					lease.Extend(1 << 10)
					extended += 1 << 10
				}
			},
			"end of handling": func(*rapid.T) {
				c := pick()
				end(c)
				c.EndHandling()
			},
			"end": func(t *rapid.T) {
				c := pick()
				end(c)
				c.End()
				c.unread = rapid.Bool().Draw(t, "next request has arrived")
			},
			"refuse": func(*rapid.T) {
				if c := pick(); len(c.leases) == 0 {
					c.running = false
					c.Refuse()
				}
			},
			"close": func(*rapid.T) {
				if len(connections) == 1 {
					return
				}
				c := pick()
				end(c)
				c.Close()
				for i := range connections {
					if connections[i] == c {
						connections = append(connections[:i], connections[i+1:]...)
						break
					}
				}
			},
			"": func(t *rapid.T) {
				if used, most := account.Used(), shares.Requests+account.leaving+extended; used < 0 || used > most {
					t.Fatalf("memory in use: got %d, want 0 to %d", used, most)
				}
				if got, most := account.leaving, shares.Requests/leavingPart+2*maxStep; got > most {
					t.Fatalf("memory of evicted connections: got %d, want at most %d", got, most)
				}
				if got := account.Connections(); got > shares.Inbound {
					t.Fatalf("connections: got %d, want at most %d", got, shares.Inbound)
				}
				if got, most := account.callers, shares.Inbound-shares.Inbound/othersPart; got > most {
					t.Fatalf("connections of callers: got %d, want at most %d", got, most)
				}
				if evictedInProgress {
					t.Fatal("a request in progress had to give way")
				}
			},
		})
		for _, c := range connections {
			end(c)
			c.Close()
		}
		if account.Used() != 0 || account.leased.Load() != 0 || account.leaving != 0 || account.Connections() != 0 || account.callers != 0 {
			t.Fatalf("at the end: got %d bytes, %d leased, %d leaving, %d connections, %d callers, want none",
				account.Used(), account.leased.Load(), account.leaving, account.Connections(), account.callers)
		}
	})
}
