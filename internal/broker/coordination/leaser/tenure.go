package leaser

import (
	"slices"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/ranker"
)

// assignResources replaces the set of keys; the tenures of keys that stay continue.
func (c *Core) assignResources(now time.Time, resources []Resource) {
	next := make(map[Key]*keyState, len(resources))
	var lost []Key
	for _, r := range resources {
		s := c.keyStates[r.Key]
		if s == nil {
			s = &keyState{resource: r}
		} else if s.resource.Zone != r.Zone {
			s.resource = r
			s.notBefore = now.Add(c.settings.ZoneChangeDelay)
		}
		s.rank = ranker.Rank(c.membership.Members, r.Key.rankKey(), r.Zone)
		next[r.Key] = s
	}
	for key, s := range c.keyStates {
		if next[key] == nil && s.active {
			lost = append(lost, key)
		}
	}
	c.keyStates, c.resources, c.ownersStale = next, resources, true
	for key := range c.releases {
		if next[key] == nil {
			delete(c.releases, key)
		}
	}
	c.reportLost(lost, nil, nil)
}

// evaluate updates the acknowledgements, the lease, the owners and the tenures.
func (c *Core) evaluate(now time.Time) {
	c.acknowledgeExclusions(now)
	c.confirmGeneration(now)
	granted := c.grantExpiry(now)
	if c.confirmed && !c.leaseGranted && now.Before(granted) {
		c.leaseGranted = true
		c.earlierExpiry = time.Time{}
	}
	expiry := c.dispatchExpiry(now)
	c.lease.set(expiry, c.epoch)
	if c.ownersStale {
		c.updateOwners(now)
	}
	c.startTenures(now)
	if c.viewStale {
		c.publish()
	}
	c.updateLifecycle(now, expiry)
}

// updateLifecycle fires the lifecycle event that follows from the expiry of the lease.
func (c *Core) updateLifecycle(now, expiry time.Time) {
	switch {
	case c.member && c.isExcluded(c.self.ID):
		c.fire(eventRelease)
		c.requestRejoin()
	case c.member && now.Before(expiry):
		c.fire(eventGrant)
	default:
		c.fire(eventLapse)
	}
}

// updateOwners computes the owners after a change of the exclusions or keys, and ends the tenures that this member
// has lost.
func (c *Core) updateOwners(now time.Time) {
	c.ownersStale, c.viewStale, c.tenuresPending = false, true, true
	leased := now.Before(c.dispatchExpiry(now))
	handover := make(map[successor][]Key)
	var planned, unplanned []Key
	for _, r := range c.resources {
		s := c.keyStates[r.Key]
		s.owner = c.firstNotExcluded(s.rank)
		if !s.active || s.owner == c.self.ID {
			continue
		}
		s.active, s.since = false, time.Time{}
		if leased && s.owner != "" {
			next := successor{to: s.owner, cleared: c.precedingEnded(s, now)}
			handover[next] = append(handover[next], r.Key)
			planned = append(planned, r.Key)
		} else {
			unplanned = append(unplanned, r.Key)
		}
	}
	c.reportLost(planned, unplanned, handover)
	c.forwardReleases()
}

// forwardReleases sends the releases received by a member that is leaving to the owners of the keys. Otherwise the
// claims of the previous holder would be lost when two members leave one after the other.
func (c *Core) forwardReleases() {
	if !c.isExcluded(c.self.ID) {
		return
	}
	handover := make(map[successor][]Key)
	for _, r := range c.resources {
		held, ok := c.releases[r.Key]
		owner := c.keyStates[r.Key].owner
		if !ok || held.generation != c.membership.Generation || owner == "" || owner == c.self.ID {
			continue
		}
		next := successor{to: owner, cleared: held.cleared}
		handover[next] = append(handover[next], r.Key)
		delete(c.releases, r.Key)
	}
	c.emitHandovers(handover)
}

// startTenures starts the tenures whose takeover wait is over.
func (c *Core) startTenures(now time.Time) {
	if !c.tenuresPending || !c.leaseGranted || c.isExcluded(c.self.ID) || !now.Before(c.grantExpiry(now)) {
		return
	}
	var planned, unplanned []Key
	c.tenuresPending = false
	for _, r := range c.resources {
		s := c.keyStates[r.Key]
		if s.active || s.owner != c.self.ID {
			continue
		}
		at, byRelease, ok := c.tenureStart(s)
		if !ok || now.Before(at) {
			c.tenuresPending = true
			continue
		}
		s.active, s.carriedOver, s.cleared, s.since = true, false, true, now
		c.viewStale = true
		delete(c.releases, r.Key)
		if byRelease {
			planned = append(planned, r.Key)
		} else {
			unplanned = append(unplanned, r.Key)
		}
	}
	if len(planned)+len(unplanned) == 0 {
		return
	}
	c.publish()
	if len(unplanned) > 0 {
		c.emit(KeysGained{Keys: unplanned})
	}
	if len(planned) > 0 {
		c.emit(KeysGained{Keys: planned, Planned: true})
	}
}

// tenureStart returns the time at which every other member's right to a key has ended, and whether a release made
// that time earlier; ok is false until a majority has reported the exclusions on which the time depends.
func (c *Core) tenureStart(s *keyState) (at time.Time, byRelease, ok bool) {
	at = c.confirmedAt.Add(c.settings.TakeoverWait)
	r, released := c.releases[s.resource.Key]
	released = released && r.generation == c.membership.Generation
	// A member that is not excluded released the key when it entered this generation with valid grants. Had it been
	// excluded in the previous generation, this member would know since the confirmation, but only if it is still a
	// member. A cleared release comes from a member that owned the key in this generation with valid grants, so
	// nobody can hold the key under an earlier generation.
	if released && (r.cleared || c.isMember(r.from) && !c.isExcluded(r.from)) {
		at, byRelease = c.confirmedAt, true
	}
	rank := s.rank
	// A cleared release covers the members ranked before its sender. Waiting for them again would delay each
	// handover when several members leave one after the other.
	if place := slices.Index(rank, r.from); released && r.cleared && place >= 0 {
		rank, byRelease = rank[place+1:], true
	}
	for _, id := range rank {
		if id == c.self.ID {
			break
		}
		if released && id == r.from {
			byRelease = true
			continue
		}
		if p := c.peers[id]; released && p != nil && !p.selfExcludedAt.IsZero() {
			continue
		}
		end, known := c.dispatchEnd(id)
		if !known {
			return time.Time{}, false, false
		}
		at = laterOf(at, end)
	}
	return laterOf(at, s.notBefore), byRelease, true
}

// precedingEnded returns whether no member ranked before this one can dispatch to the key in this generation any more.
func (c *Core) precedingEnded(s *keyState, now time.Time) bool {
	if s.cleared {
		return true
	}
	for _, id := range s.rank {
		if id == c.self.ID {
			return true
		}
		if end, known := c.dispatchEnd(id); !known || now.Before(end) {
			return false
		}
	}
	return false
}

// dispatchEnd returns the time from which an excluded member no longer dispatches, and false while that is unknown. A
// member that has excluded itself has already stopped; the two heartbeat intervals let its release arrive first.
func (c *Core) dispatchEnd(id broker.NodeID) (time.Time, bool) {
	if p := c.peers[id]; p != nil && !p.selfExcludedAt.IsZero() {
		return p.selfExcludedAt.Add(2 * c.settings.HeartbeatInterval), true
	}
	reported := c.excluded[id]
	return reported.Add(c.settings.TakeoverWait), !reported.IsZero()
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// endCarriedOver ends the tenures carried over from earlier generations, whose grants expired before the confirmation.
func (c *Core) endCarriedOver() {
	var lost []Key
	for _, r := range c.resources {
		if s := c.keyStates[r.Key]; s.active && s.carriedOver {
			s.active, s.carriedOver, s.since = false, false, time.Time{}
			lost = append(lost, r.Key)
		}
	}
	c.tenuresPending = true
	c.reportLost(nil, lost, nil)
}

// requestRewrite emits RewriteMembership once a majority has reported all exclusions, or to drop earlier generations.
// Only the first member by ID that is neither excluded nor silent does so.
func (c *Core) requestRewrite(now time.Time) {
	if !c.member || !c.confirmed || c.isExcluded(c.self.ID) || now.Before(c.nextRewrite) {
		return
	}
	for i := range c.membership.Members {
		id := c.membership.Members[i].ID
		if id < c.self.ID && !c.isExcluded(id) && !c.isSilent(id, now) {
			return
		}
	}
	// A new generation restarts the waits of members that are taking over, so the rewrite waits until they have
	// finished. Without a lease the majority may be lost, and nobody can take over before the rewrite.
	delay := c.settings.TakeoverWait + c.settings.RewriteInterval
	if c.Lifecycle() != LeaseHeld {
		delay = 0
	}
	tooEarly := func(at time.Time) bool { return at.IsZero() || now.Sub(at) < delay }
	remove := c.exclusions()
	for _, id := range remove {
		if tooEarly(c.excluded[id]) {
			return
		}
	}
	if len(remove) == 0 && tooEarly(c.confirmedAt) {
		return
	}
	if len(remove) == 0 && len(c.membership.Earlier) < earlierRewriteThreshold {
		return
	}
	c.nextRewrite = now.Add(c.settings.RewriteInterval)
	c.emit(RewriteMembership{Remove: remove})
}

// ConfirmedGeneration returns the current generation and whether this member knows that all generations before it have
// ended; only for the goroutine that calls Step.
func (c *Core) ConfirmedGeneration() (broker.Generation, bool) {
	return c.membership.Generation, c.member && c.confirmed
}

// NeedsHostList returns whether the host list may be needed to replace a lost majority; only for the goroutine
// that calls Step.
func (c *Core) NeedsHostList() bool {
	return c.member && (!c.confirmed || c.Lifecycle() == LeaseLapsed || c.Lifecycle() == LeaseWaiting)
}

// HearsMajority returns whether this process hears enough members to form a majority with them; only for the
// goroutine that calls Step.
func (c *Core) HearsMajority(now time.Time) bool {
	heard := 0
	for i := range c.membership.Members {
		m := &c.membership.Members[i]
		p := c.peers[m.ID]
		if m.Peer != c.self.Peer && p != nil && p.everHeard && now.Sub(p.lastHeard) <= c.settings.SilenceTimeout {
			heard++
		}
	}
	return len(c.membership.Members) == 0 || heard >= majority(len(c.membership.Members))-1
}

// LiveMembers returns the members that are not excluded; only for the goroutine that calls Step.
func (c *Core) LiveMembers() []broker.Member {
	live := make([]broker.Member, 0, len(c.membership.Members))
	for i := range c.membership.Members {
		if !c.isExcluded(c.membership.Members[i].ID) {
			live = append(live, c.membership.Members[i])
		}
	}
	return live
}
