package leaser

import (
	"net/netip"
	"slices"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
)

func containsID(ids []broker.NodeID, id broker.NodeID) bool { return slices.Contains(ids, id) }

func majority(members int) int { return members/2 + 1 }

func containsMember(members []broker.Member, id broker.NodeID) bool {
	return slices.ContainsFunc(members, func(m broker.Member) bool { return m.ID == id })
}

func (c *Core) isMember(id broker.NodeID) bool { return containsMember(c.membership.Members, id) }

func (c *Core) isExcluded(id broker.NodeID) bool {
	_, ok := c.excluded[id]
	return ok
}

// exclude adds a member to the exclusions of the current generation.
func (c *Core) exclude(id broker.NodeID) {
	if c.isExcluded(id) || !c.isMember(id) {
		return
	}
	c.excluded[id] = time.Time{}
	c.ownersStale = true
	c.nextHeartbeat = time.Time{} // the next tick announces the exclusion
}

// exclusions returns the excluded members, sorted.
func (c *Core) exclusions() []broker.NodeID {
	if len(c.excluded) == 0 {
		return nil
	}
	ids := make([]broker.NodeID, 0, len(c.excluded))
	for id := range c.excluded {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (c *Core) sameExclusions(ids []broker.NodeID) bool {
	return len(ids) == len(c.excluded) && c.excludesAll(ids)
}

func (c *Core) excludesAll(ids []broker.NodeID) bool {
	for _, id := range ids {
		if !c.isExcluded(id) {
			return false
		}
	}
	return true
}

// isHostGone returns whether a node has been silent and its host missing from the host list for long enough to count
// as lost.
func (c *Core) isHostGone(id broker.NodeID, now time.Time) bool {
	p := c.peers[id]
	return p != nil && !p.missingSince.IsZero() && now.Sub(p.missingSince) >= c.settings.HostGoneAfter &&
		now.Sub(p.lastHeard) >= c.settings.HostGoneAfter
}

func (c *Core) isSilent(id broker.NodeID, now time.Time) bool {
	p := c.peers[id]
	if p == nil {
		return true
	}
	limit := c.settings.SilenceTimeout
	if !p.everHeard {
		// The links to a new member have yet to come up.
		limit *= 2
	}
	return now.Sub(p.lastHeard) > limit
}

func (c *Core) wasHeard(id broker.NodeID) bool {
	p := c.peers[id]
	return p != nil && p.everHeard
}

// countReachable returns how many members are heard from, this one included, or have lost their host. A new member
// that has sent nothing yet does not count: a partitioned member that learns of it from the store would otherwise
// exclude the members on the other side, which exclude it.
func (c *Core) countReachable(now time.Time) int {
	count := 0
	for i := range c.membership.Members {
		id := c.membership.Members[i].ID
		if id == c.self.ID || c.isHostGone(id, now) || !c.isExcluded(id) && c.wasHeard(id) && !c.isSilent(id, now) {
			count++
		}
	}
	return count
}

// excludeSilent excludes silent members. A member that does not hear a majority excludes nobody: it cannot take
// over, and its exclusions would remove healthy members once the others hear it again. A new member excludes nobody
// within the silence timeout either: the others link to it only after they have learned of it.
func (c *Core) excludeSilent(now time.Time) {
	if now.Sub(c.memberSince) <= c.settings.SilenceTimeout {
		return
	}
	if !c.member || c.isExcluded(c.self.ID) || c.countReachable(now) < majority(len(c.membership.Members)) {
		return
	}
	for i := range c.membership.Members {
		if id := c.membership.Members[i].ID; id != c.self.ID && c.isSilent(id, now) {
			c.exclude(id)
		}
	}
}

// acknowledgeExclusions records now as the time of each exclusion that a majority of the generation has newly reported.
func (c *Core) acknowledgeExclusions(now time.Time) {
	for id, at := range c.excluded {
		if !at.IsZero() {
			continue
		}
		count := 0
		for i := range c.membership.Members {
			m := c.membership.Members[i].ID
			p := c.peers[m]
			if m == c.self.ID || c.isHostGone(m, now) {
				count++
			} else if p != nil {
				if _, ok := p.reportedExclusions[id]; ok {
					count++
				}
			}
		}
		if count >= majority(len(c.membership.Members)) {
			c.excluded[id] = now
		}
	}
}

// wasReplaced returns whether a later member list has another process at the peer address of m, which only one
// process can bind.
func (c *Core) wasReplaced(past broker.PastMembers, m *broker.Member) bool {
	succeeds := func(other broker.Member) bool { return other.ID != m.ID && other.Peer == m.Peer }
	for _, later := range c.unconfirmed {
		if later.Generation > past.Generation && slices.ContainsFunc(later.Members, succeeds) {
			return true
		}
	}
	return slices.ContainsFunc(c.membership.Members, succeeds)
}

// confirmGeneration records the time at which a majority of every earlier generation is known to have left it.
func (c *Core) confirmGeneration(now time.Time) {
	if c.confirmed || c.membership.Generation == 0 {
		return
	}
	for _, past := range c.unconfirmed {
		count := 0
		for i := range past.Members {
			m := &past.Members[i]
			if m.ID == c.self.ID || c.hasReportedGeneration(m.ID) || c.wasReplaced(past, m) || c.isHostGone(m.ID, now) {
				count++
			}
		}
		if len(past.Members) > 0 && count < majority(len(past.Members)) {
			return
		}
	}
	c.confirmed, c.confirmedAt = true, now
	c.unconfirmed = nil
	// If the earlier grants have expired by now, another member may have taken over in an earlier generation.
	if !now.Before(c.earlierExpiry) {
		c.endCarriedOver()
	}
}

// hasReportedGeneration returns whether a node has reported the current generation and its exclusions in it. A node
// in a higher generation does not count, because it reports the exclusions of that generation.
func (c *Core) hasReportedGeneration(id broker.NodeID) bool {
	p := c.peers[id]
	return p != nil && p.generation == c.membership.Generation && p.reportedExclusions != nil
}

// grantExpiry returns the time until which a majority has granted the lease in the current generation.
func (c *Core) grantExpiry(now time.Time) time.Time {
	if !c.member {
		return time.Time{}
	}
	need := majority(len(c.membership.Members)) - 1
	if need == 0 {
		// No other member can take over without this one.
		return now.Add(c.settings.LeaseDuration)
	}
	grants := make([]time.Time, 0, len(c.membership.Members))
	for i := range c.membership.Members {
		id := c.membership.Members[i].ID
		if p := c.peers[id]; id != c.self.ID && p != nil && !p.grantStart.IsZero() {
			grants = append(grants, p.grantStart)
		}
	}
	if len(grants) < need {
		return time.Time{}
	}
	slices.SortFunc(grants, func(a, b time.Time) int { return b.Compare(a) })
	return grants[need-1].Add(c.settings.LeaseDuration)
}

func (c *Core) recordHosts(now time.Time, hosts []broker.Host) {
	present := make(map[netip.Addr]struct{}, len(hosts))
	for _, host := range hosts {
		present[host.Address.Unmap()] = struct{}{}
	}
	check := func(members []broker.Member) {
		for i := range members {
			p := c.peers[members[i].ID]
			if p == nil {
				continue
			}
			if _, ok := present[members[i].Peer.Addr().Unmap()]; ok {
				p.missingSince = time.Time{}
			} else if p.missingSince.IsZero() {
				p.missingSince = now
			}
		}
	}
	check(c.membership.Members)
	for _, past := range c.unconfirmed {
		check(past.Members)
	}
}
