package leaser

import (
	"sync/atomic"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
)

// lease is the expiry of a majority's grants on two clocks, both of which must be before it: the monotonic clock may
// stop while a virtual machine is suspended, and the wall clock may be set back.
type lease struct {
	monotonic atomic.Int64 // nanoseconds since the core's epoch
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

func (l *lease) validAt(monotonic time.Duration, wall int64) bool {
	return int64(monotonic) < l.monotonic.Load() && wall < l.wall.Load()
}

// keyView is the owner of one key and the tenure of this member.
type keyView struct {
	owner  broker.NodeID
	since  time.Time
	active bool
}

// view is the published state for the request path; after publication only the expiry of its lease changes.
type view struct {
	generation broker.Generation
	members    []broker.Member
	self       broker.NodeID
	keys       map[Key]keyView
	lease      *lease
}

// MayDispatch returns whether this member may dispatch to a server at now; safe for concurrent use.
func (c *Core) MayDispatch(server broker.ServerName, now time.Time) bool {
	return c.MayAct(Key{Server: server}, now)
}

// MayAct returns whether this member may act as the owner of key at now; safe for concurrent use.
func (c *Core) MayAct(key Key, now time.Time) bool {
	v := c.view.Load()
	return v.keys[key].active && v.lease.validAt(now.Sub(c.epoch), now.UnixNano())
}

// Owner returns the owner of key as known to this member, or an empty ID; safe for concurrent use.
func (c *Core) Owner(key Key) broker.NodeID { return c.view.Load().keys[key].owner }

// Tenure returns the owner of key, the start of this member's tenure and whether it may act at now; safe
// for concurrent use.
func (c *Core) Tenure(key Key, now time.Time) (owner broker.NodeID, since time.Time, may bool) {
	v := c.view.Load()
	h := v.keys[key]
	return h.owner, h.since, h.active && v.lease.validAt(now.Sub(c.epoch), now.UnixNano())
}

// Members returns the member list, which callers must not change, and its generation; safe for concurrent use.
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
		keys:       make(map[Key]keyView, len(c.resources)),
		lease:      c.lease,
	}
	for key, state := range c.keyStates {
		v.keys[key] = keyView{owner: state.owner, since: state.since, active: state.active}
	}
	c.view.Store(v)
	c.viewStale = false
}
