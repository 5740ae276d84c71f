package leaser

import (
	"net/netip"
	"slices"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
)

func contains(ids []broker.NodeID, id broker.NodeID) bool { return slices.Contains(ids, id) }

func majority(members int) int { return members/2 + 1 }

func listed(members []broker.Member, id broker.NodeID) bool {
	return slices.ContainsFunc(members, func(m broker.Member) bool { return m.ID == id })
}

func (c *Core) isMember(id broker.NodeID) bool { return listed(c.membership.Members, id) }

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
	c.stale = true
	c.beatAt = time.Time{} // the next tick announces it
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

// gone returns whether the host list and the silence of a node agree that its host is lost for good.
func (c *Core) gone(id broker.NodeID, now time.Time) bool {
	p := c.peers[id]
	return p != nil && !p.absent.IsZero() && now.Sub(p.absent) >= c.settings.HostGone &&
		now.Sub(p.heard) >= c.settings.HostGone
}

func (c *Core) silent(id broker.NodeID, now time.Time) bool {
	p := c.peers[id]
	if p == nil {
		return true
	}
	limit := c.settings.Silence
	if !p.met {
		// Links to a new member take a moment to come up.
		limit *= 2
	}
	return now.Sub(p.heard) > limit
}

func (c *Core) met(id broker.NodeID) bool {
	p := c.peers[id]
	return p != nil && p.met
}

// reachable returns how many members are heard from, this one included, or are known to be gone. A new member that
// nothing has come from yet is no evidence of contact: a partitioned member that learns of one from the store would
// otherwise exclude the members on the other side, which exclude it.
func (c *Core) reachable(now time.Time) int {
	count := 0
	for i := range c.membership.Members {
		id := c.membership.Members[i].ID
		if id == c.self.ID || c.gone(id, now) || !c.isExcluded(id) && c.met(id) && !c.silent(id, now) {
			count++
		}
	}
	return count
}

// excludeSilent excludes silent members. A member that does not hear a majority excludes nobody: it cannot take
// over, and its exclusions would remove healthy members once it is heard again.
func (c *Core) excludeSilent(now time.Time) {
	if !c.member || c.isExcluded(c.self.ID) || c.reachable(now) < majority(len(c.membership.Members)) {
		return
	}
	for i := range c.membership.Members {
		if id := c.membership.Members[i].ID; id != c.self.ID && c.silent(id, now) {
			c.exclude(id)
		}
	}
}

// acknowledge notes the exclusions that a majority of the generation has reported.
func (c *Core) acknowledge(now time.Time) {
	for id, at := range c.excluded {
		if !at.IsZero() {
			continue
		}
		count := 0
		for i := range c.membership.Members {
			m := c.membership.Members[i].ID
			p := c.peers[m]
			if m == c.self.ID || c.gone(m, now) {
				count++
			} else if p != nil {
				if _, ok := p.excluded[id]; ok {
					count++
				}
			}
		}
		if count >= majority(len(c.membership.Members)) {
			c.excluded[id] = now
		}
	}
}

// ended returns whether a later member list has another process under the same peer address; the address can
// be bound by one process only.
func (c *Core) ended(past broker.PastMembers, m *broker.Member) bool {
	succeeds := func(other broker.Member) bool { return other.ID != m.ID && other.Peer == m.Peer }
	for _, later := range c.past {
		if later.Generation > past.Generation && slices.ContainsFunc(later.Members, succeeds) {
			return true
		}
	}
	return slices.ContainsFunc(c.membership.Members, succeeds)
}

// confirm notes that a majority of every earlier generation has left it.
func (c *Core) confirm(now time.Time) {
	if c.confirmed || c.membership.Generation == 0 {
		return
	}
	for _, past := range c.past {
		count := 0
		for i := range past.Members {
			m := &past.Members[i]
			if m.ID == c.self.ID || c.hasLeft(m.ID) || c.ended(past, m) || c.gone(m.ID, now) {
				count++
			}
		}
		if len(past.Members) > 0 && count < majority(len(past.Members)) {
			return
		}
	}
	c.confirmed, c.confirmedAt = true, now
	c.past = nil
	// Without live grants at this moment another member may have taken over in an earlier generation.
	if !now.Before(c.bridge) {
		c.endContinued()
	}
}

// hasLeft returns whether a node has reported exactly the current generation together with its exclusions. A
// node that is further ahead reports exclusions of another generation, so it does not count.
func (c *Core) hasLeft(id broker.NodeID) bool {
	p := c.peers[id]
	return p != nil && p.generation == c.membership.Generation && p.excluded != nil
}

// granted returns the expiry of the grants of a majority in the current generation.
func (c *Core) granted(now time.Time) time.Time {
	if !c.member {
		return time.Time{}
	}
	need := majority(len(c.membership.Members)) - 1
	if need == 0 {
		// No other member can take over without this one.
		return now.Add(c.settings.Lease)
	}
	grants := make([]time.Time, 0, len(c.membership.Members))
	for i := range c.membership.Members {
		id := c.membership.Members[i].ID
		if p := c.peers[id]; id != c.self.ID && p != nil && !p.grant.IsZero() {
			grants = append(grants, p.grant)
		}
	}
	if len(grants) < need {
		return time.Time{}
	}
	slices.SortFunc(grants, func(a, b time.Time) int { return b.Compare(a) })
	return grants[need-1].Add(c.settings.Lease)
}

func (c *Core) readHosts(now time.Time, hosts []broker.Host) {
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
				p.absent = time.Time{}
			} else if p.absent.IsZero() {
				p.absent = now
			}
		}
	}
	check(c.membership.Members)
	for _, past := range c.past {
		check(past.Members)
	}
}
