package leaser

import (
	"sync/atomic"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
)

// lease is the expiry of the majority of grants on two clocks. The monotonic clock may stand still while a
// virtual machine is suspended, and the wall clock may be set back, so both must be before the expiry.
type lease struct {
	monotonic atomic.Int64 // nanoseconds after the core's epoch
	wall      atomic.Int64 // nanoseconds of Unix time
}

func (l *lease) set(expiry, epoch time.Time) {
	if expiry.IsZero() {
		l.monotonic.Store(0)
		l.wall.Store(0)
		return
	}
	l.monotonic.Store(int64(expiry.Sub(epoch)))
	l.wall.Store(expiry.UnixNano())
}

func (l *lease) live(monotonic time.Duration, wall int64) bool {
	return int64(monotonic) < l.monotonic.Load() && wall < l.wall.Load()
}

// holding is the right of this member to one key.
type holding struct {
	owner broker.NodeID
	since time.Time
	may   bool
}

// view is what readers on the request path see; only the expiry changes after publication.
type view struct {
	generation broker.Generation
	members    []broker.Member
	self       broker.NodeID
	keys       map[Key]holding
	lease      *lease
}

// MayDispatch returns whether this member may dispatch to a server at now; safe for concurrent use.
func (c *Core) MayDispatch(server broker.ServerName, now time.Time) bool {
	return c.May(Key{Server: server}, now)
}

// May returns whether this member may act as the owner of key at now; safe for concurrent use.
func (c *Core) May(key Key, now time.Time) bool {
	v := c.view.Load()
	return v.keys[key].may && v.lease.live(now.Sub(c.epoch), now.UnixNano())
}

// Owner returns the owner of key by this member's knowledge, or an empty ID; safe for concurrent use.
func (c *Core) Owner(key Key) broker.NodeID { return c.view.Load().keys[key].owner }

// Tenure returns the owner of key, the start of this member's tenure and whether it may act at now; safe
// for concurrent use.
func (c *Core) Tenure(key Key, now time.Time) (owner broker.NodeID, since time.Time, may bool) {
	v := c.view.Load()
	h := v.keys[key]
	return h.owner, h.since, h.may && v.lease.live(now.Sub(c.epoch), now.UnixNano())
}

// Members returns the member list and its generation, which callers must not change; safe for concurrent use.
func (c *Core) Members() ([]broker.Member, broker.Generation) {
	v := c.view.Load()
	return v.members, v.generation
}

// publish replaces the view after a change of owners or tenures.
func (c *Core) publish() {
	v := &view{
		generation: c.membership.Generation,
		members:    c.membership.Members,
		self:       c.self.ID,
		keys:       make(map[Key]holding, len(c.resources)),
		lease:      c.lease,
	}
	for key, slot := range c.slots {
		v.keys[key] = holding{owner: slot.owner, since: slot.since, may: slot.active}
	}
	c.view.Store(v)
	c.dirty = false
}
