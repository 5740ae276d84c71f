package leaser

import (
	"cmp"
	"slices"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/ranker"
)

// peerRetention is how long the state of a node that is in no member list is kept after its last message.
const peerRetention = 10 * time.Second

// adoptMembership enters a higher generation. It first applies the generations in between that the list names.
func (c *Core) adoptMembership(now time.Time, m broker.Membership) {
	if m.Generation <= c.membership.Generation {
		return
	}
	history := slices.Clone(m.Earlier)
	if m.PreviousGeneration != 0 {
		history = append(history, broker.PastMembers{Generation: m.PreviousGeneration, Members: m.Previous})
	}
	current := c.membership.Generation
	inOrder := slices.ContainsFunc(history, func(p broker.PastMembers) bool { return p.Generation == current })
	hadLease := c.leaseGranted
	held := c.heldKeys(now)
	c.earlierExpiry = c.dispatchExpiry(now)
	if !inOrder {
		clear(held)
	}
	for _, past := range history {
		if past.Generation > current {
			c.pruneExclusions(past.Members)
			c.removeUnowned(held, past.Members)
		}
	}
	c.pruneExclusions(m.Members)
	before := make(map[Key]struct{}, len(held))
	for key := range held {
		before[key] = struct{}{}
	}
	c.removeUnowned(held, m.Members)
	c.unconfirmed = c.mergeUnconfirmed(history)
	c.enterGeneration(now, m)
	c.rerankKeys(held, before, hadLease)
}

// heldKeys returns the keys to which this member may dispatch at now.
func (c *Core) heldKeys(now time.Time) map[Key]struct{} {
	held := make(map[Key]struct{})
	if !now.Before(c.dispatchExpiry(now)) {
		return held
	}
	for key, s := range c.keyStates {
		if s.active {
			held[key] = struct{}{}
		}
	}
	return held
}

// dispatchExpiry returns the expiry of the grants on which this member dispatches.
func (c *Core) dispatchExpiry(now time.Time) time.Time {
	if c.leaseGranted {
		return c.grantExpiry(now)
	}
	return c.earlierExpiry
}

// pruneExclusions removes the exclusions of nodes that are not in members.
func (c *Core) pruneExclusions(members []broker.Member) {
	for id := range c.excluded {
		if !containsMember(members, id) {
			delete(c.excluded, id)
		}
	}
}

// removeUnowned removes from held the keys that this member does not own under the given member list.
func (c *Core) removeUnowned(held map[Key]struct{}, members []broker.Member) {
	for key := range held {
		owner := ranker.Owner(members, key.rankKey(), c.keyStates[key].resource.Zone, c.isExcluded)
		if owner != c.self.ID {
			delete(held, key)
		}
	}
}

// mergeUnconfirmed returns the earlier generations that are not known to have ended, oldest first.
func (c *Core) mergeUnconfirmed(history []broker.PastMembers) []broker.PastMembers {
	var past []broker.PastMembers
	if !c.confirmed {
		past = c.unconfirmed
	}
	if c.membership.Generation != 0 {
		past = append(past, broker.PastMembers{
			Generation: c.membership.Generation, Members: c.membership.Members,
		})
	}
	for _, p := range history {
		if c.confirmed && p.Generation < c.membership.Generation {
			continue
		}
		if !slices.ContainsFunc(past, func(o broker.PastMembers) bool { return o.Generation == p.Generation }) {
			past = append(past, p)
		}
	}
	slices.SortFunc(past, func(a, b broker.PastMembers) int { return int(a.Generation) - int(b.Generation) })
	return past
}

// enterGeneration replaces the member list and discards what peers reported in earlier generations.
func (c *Core) enterGeneration(now time.Time, m broker.Membership) {
	c.membership = m
	c.confirmed, c.leaseGranted = false, false
	c.member = c.isMember(c.self.ID)
	if c.member && c.memberSince.IsZero() {
		c.memberSince = now
	}
	wanted := func(id broker.NodeID) bool {
		return c.isMember(id) ||
			slices.ContainsFunc(c.unconfirmed, func(p broker.PastMembers) bool { return containsMember(p.Members, id) })
	}
	for id, p := range c.peers {
		p.reportedExclusions, p.grantStart, p.selfExcludedAt = nil, time.Time{}, time.Time{}
		if !wanted(id) && now.Sub(p.lastHeard) > peerRetention {
			delete(c.peers, id)
		}
	}
	for _, p := range c.unconfirmed {
		c.addPeers(now, p.Members)
	}
	c.addPeers(now, m.Members)
	c.lease = &lease{}
	c.ownersStale = true
	c.nextHeartbeat = time.Time{} // the next tick announces the new generation
	switch {
	case c.member:
		c.fire(eventJoin)
	case !c.leaving && c.Lifecycle() != LeaseIdle:
		c.fire(eventRelease)
		c.requestRejoin()
	}
}

func (c *Core) addPeers(now time.Time, members []broker.Member) {
	for i := range members {
		if id := members[i].ID; id != c.self.ID && c.peers[id] == nil {
			c.peers[id] = &peer{lastHeard: now}
		}
	}
}

// rerankKeys ranks all keys in the new generation. Keys in held stay active. Keys in before were held until the last
// generation change and are handed over if hadLease is set; all other active keys are lost without a handover.
func (c *Core) rerankKeys(held, before map[Key]struct{}, hadLease bool) {
	handover := make(map[successor][]Key)
	var planned, unplanned []Key
	for _, r := range c.resources {
		s := c.keyStates[r.Key]
		s.rank = ranker.Rank(c.membership.Members, r.Key.rankKey(), r.Zone)
		s.owner = c.firstNotExcluded(s.rank)
		s.cleared = false
		if _, ok := held[r.Key]; ok {
			s.carriedOver = true
			continue
		}
		if !s.active {
			continue
		}
		s.active, s.since = false, time.Time{}
		_, last := before[r.Key]
		if last && hadLease && c.member && s.owner != "" && s.owner != c.self.ID {
			// The handover is not cleared: this member was never the owner in the new generation, whose rank order
			// applies.
			next := successor{to: s.owner}
			handover[next] = append(handover[next], r.Key)
			planned = append(planned, r.Key)
		} else {
			unplanned = append(unplanned, r.Key)
		}
	}
	c.reportLost(planned, unplanned, handover)
}

// reportLost publishes the view without the lost keys before it reports them and hands them over.
func (c *Core) reportLost(planned, unplanned []Key, handover map[successor][]Key) {
	if len(planned)+len(unplanned) == 0 {
		return
	}
	c.publish()
	if len(unplanned) > 0 {
		c.emit(KeysLost{Keys: unplanned})
	}
	if len(planned) > 0 {
		c.emit(KeysLost{Keys: planned, Planned: true})
	}
	c.emitHandovers(handover)
}

// emitHandovers emits one handover for each successor, in the order of node IDs.
func (c *Core) emitHandovers(handover map[successor][]Key) {
	targets := make([]successor, 0, len(handover))
	for next := range handover {
		targets = append(targets, next)
	}
	slices.SortFunc(targets, func(a, b successor) int { return cmp.Compare(a.to, b.to) })
	for _, next := range targets {
		c.emit(Handover{
			To: next.to, Generation: c.membership.Generation, Keys: handover[next], Cleared: next.cleared,
		})
	}
}

func (c *Core) firstNotExcluded(rank []broker.NodeID) broker.NodeID {
	for _, id := range rank {
		if !c.isExcluded(id) {
			return id
		}
	}
	return ""
}

func (c *Core) requestRejoin() {
	if !c.rejoining && !c.leaving {
		c.rejoining = true
		c.emit(Rejoin{})
	}
}
