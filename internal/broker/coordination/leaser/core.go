package leaser

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/looplab/fsm"

	"github.com/yuccarock/yuccarock/internal/broker"
)

// sentHistorySize is the number of sent heartbeats that are kept; replies to older ones are too late to extend a lease.
const sentHistorySize = 16

// peer is what this member knows about another node.
type peer struct {
	lastHeard          time.Time // time of the last message, or of becoming a member
	everHeard          bool      // at least one message has arrived from it
	membershipSentAt   time.Time // when the member list was last sent to it
	missingSince       time.Time // since when its host is missing from the host list
	generation         broker.Generation
	reportedExclusions map[broker.NodeID]struct{} // as reported in the current generation
	selfExcludedAt     time.Time                  // when it first reported its own exclusion in this generation
	grantStart         time.Time                  // send time of the newest granted heartbeat of the current generation
}

// keyState is the state of one key at this member.
type keyState struct {
	resource    Resource
	rank        []broker.NodeID
	owner       broker.NodeID
	since       time.Time // start of the tenure
	active      bool      // the tenure has started and has not ended
	carriedOver bool      // the tenure started in an earlier generation
	cleared     bool      // no member ranked before this one can dispatch in this generation any more
	notBefore   time.Time
}

// release is the last handover of a key by its previous holder.
type release struct {
	from       broker.NodeID
	generation broker.Generation
	cleared    bool
}

type sentHeartbeat struct {
	sequence   uint64
	generation broker.Generation
	at         time.Time
}

// Core is the membership and lease state of one incarnation of a process. Step must be called from one goroutine;
// MayAct, MayDispatch, Owner, Tenure and Members are safe for concurrent use.
type Core struct {
	settings Settings
	epoch    time.Time
	self     broker.Member

	membership    broker.Membership
	member        bool
	memberSince   time.Time            // when this incarnation became a member, or zero
	unconfirmed   []broker.PastMembers // earlier generations not known to have ended
	confirmed     bool
	confirmedAt   time.Time
	leaseGranted  bool      // a majority has granted the lease since the generation was confirmed
	earlierExpiry time.Time // expiry of the grants of earlier generations

	peers     map[broker.NodeID]*peer
	excluded  map[broker.NodeID]time.Time // when a majority had reported it, or zero
	resources []Resource
	keyStates map[Key]*keyState
	releases  map[Key]release
	revision  broker.Revision

	sequence      uint64
	sent          [sentHistorySize]sentHeartbeat
	lastStep      time.Time
	lastTick      time.Time
	nextHeartbeat time.Time
	nextRewrite   time.Time
	leaving       bool
	rejoining     bool

	lifecycle      *fsm.FSM
	lease          *lease
	ownersStale    bool // the owners must be computed again
	viewStale      bool // the view must be published again
	tenuresPending bool // a key may wait for its tenure to start
	view           atomic.Pointer[view]
	actions        []Action
}

// New returns the core of a process that is not a member yet; epoch is any time at or before the first event.
func New(settings Settings, self broker.Member, epoch time.Time) *Core {
	c := &Core{
		settings:  settings,
		epoch:     epoch,
		self:      self,
		peers:     make(map[broker.NodeID]*peer),
		excluded:  make(map[broker.NodeID]time.Time),
		keyStates: make(map[Key]*keyState),
		releases:  make(map[Key]release),
		lastStep:  epoch,
		lastTick:  epoch,
		lifecycle: newLifecycle(),
		lease:     &lease{},
	}
	c.publish()
	return c
}

// InheritObservations copies what the previous incarnation of this process has observed of other hosts, but not
// its grants, exclusions and tenures.
func (c *Core) InheritObservations(previous *Core) {
	for id, p := range previous.peers {
		if id != c.self.ID {
			c.peers[id] = &peer{lastHeard: p.lastHeard, everHeard: p.everHeard, missingSince: p.missingSince}
		}
	}
	c.lastTick = previous.lastTick
}

// SetRevision sets the configuration revision that heartbeats announce.
func (c *Core) SetRevision(revision broker.Revision) { c.revision = revision }

// Step applies one event and returns the actions to carry out, in order; now must not be before that of the last call.
func (c *Core) Step(now time.Time, event Event) []Action {
	c.actions = nil
	// Round(0) strips the monotonic reading. After a suspension that the monotonic clock did not count, the wall
	// clock has advanced further than the monotonic clock.
	if now.Round(0).Sub(c.lastStep.Round(0))-now.Sub(c.lastStep) > c.settings.HeartbeatInterval {
		c.dropGrants(now)
	}
	c.lastStep = now
	switch e := event.(type) {
	case Tick:
		c.tick(now)
	case MessageReceived:
		c.receive(now, e)
	case ReleaseReceived:
		c.acceptRelease(e)
	case AdoptMembership:
		c.adoptMembership(now, e.Membership)
	case AssignResources:
		c.assignResources(now, e.Resources)
	case HostListRead:
		c.recordHosts(now, e.Hosts)
	case Leave:
		c.leave()
	}
	c.evaluate(now)
	if _, ok := event.(Tick); ok {
		c.sendHeartbeats(now)
		c.requestRewrite(now)
	}
	return c.actions
}

func (c *Core) emit(action Action) { c.actions = append(c.actions, action) }

// tick detects pauses of this process and excludes silent members.
func (c *Core) tick(now time.Time) {
	// After a pause of this process the silence of a peer proves nothing, so all peers count as heard now.
	if now.Sub(c.lastTick) > 2*c.settings.HeartbeatInterval {
		for _, p := range c.peers {
			p.lastHeard = now
		}
	}
	c.lastTick = now
	c.excludeSilent(now)
}

// dropGrants discards all grants because their age is unknown, including those that replies may still bring.
func (c *Core) dropGrants(now time.Time) {
	for _, p := range c.peers {
		p.grantStart, p.lastHeard = time.Time{}, now
	}
	c.earlierExpiry = time.Time{}
	c.sent = [sentHistorySize]sentHeartbeat{}
}

// sendHeartbeats sends the heartbeats that are due. Nodes that are not members also send them, to learn of changes.
func (c *Core) sendHeartbeats(now time.Time) {
	if now.Before(c.nextHeartbeat) || len(c.membership.Members) == 0 {
		return
	}
	c.nextHeartbeat = now.Add(c.settings.HeartbeatInterval)
	c.sequence++
	c.sent[c.sequence%sentHistorySize] = sentHeartbeat{sequence: c.sequence, generation: c.membership.Generation, at: now}
	heartbeat := &broker.Heartbeat{
		Sequence:   c.sequence,
		Generation: c.membership.Generation,
		Excluded:   c.exclusions(),
		Revision:   c.revision,
		Leaving:    c.leaving,
	}
	for i := range c.membership.Members {
		if id := c.membership.Members[i].ID; id != c.self.ID {
			c.emit(SendMessage{To: id, Message: broker.Message{Heartbeat: heartbeat}})
		}
	}
}

func (c *Core) receive(now time.Time, e MessageReceived) {
	p := c.peers[e.From]
	if p == nil {
		p = &peer{}
		c.peers[e.From] = p
	}
	p.lastHeard, p.everHeard = now, true
	if e.Heartbeat != nil {
		c.recordReport(now, p, e.From, e.Heartbeat.Generation, e.Heartbeat.Excluded)
		c.answerHeartbeat(e.From, e.Heartbeat)
	}
	if e.Reply != nil {
		c.recordReport(now, p, e.From, e.Reply.Generation, e.Reply.Excluded)
		c.recordGrant(p, e.Reply)
	}
	if p.generation < c.membership.Generation && now.Sub(p.membershipSentAt) >= c.settings.HeartbeatInterval {
		p.membershipSentAt = now
		c.emit(PushMembership{To: e.From})
	}
}

// recordReport records the generation and exclusions that a node reports, and adopts its exclusions.
func (c *Core) recordReport(
	now time.Time, p *peer, from broker.NodeID, generation broker.Generation, excluded []broker.NodeID,
) {
	if generation < p.generation {
		return
	}
	p.generation = generation
	if generation != c.membership.Generation {
		return
	}
	// An excluded member that does not know of its exclusion may have lost contact itself, so the exclusions that it
	// reports are ignored. Counting its report as an acknowledgement without adopting them would be unsafe.
	if c.isExcluded(from) && !containsID(excluded, from) {
		return
	}
	// A removed node must not exclude the remaining members. Its report counts only if it names no exclusion that
	// is unknown here.
	if !c.isMember(from) && !c.excludesAll(excluded) {
		return
	}
	if p.selfExcludedAt.IsZero() && containsID(excluded, from) {
		p.selfExcludedAt = now
	}
	if p.reportedExclusions == nil {
		if !c.leaseGranted {
			c.nextHeartbeat = time.Time{} // the node can now grant in this generation
		}
		p.reportedExclusions = make(map[broker.NodeID]struct{}, len(excluded))
	}
	for _, id := range excluded {
		p.reportedExclusions[id] = struct{}{}
		c.exclude(id)
	}
}

// answerHeartbeat replies to a heartbeat. It grants the lease to a member that is not excluded and has the same
// generation and exclusions as this one.
func (c *Core) answerHeartbeat(from broker.NodeID, heartbeat *broker.Heartbeat) {
	granted := c.member && heartbeat.Generation == c.membership.Generation &&
		c.isMember(from) && !c.isExcluded(from) && c.sameExclusions(heartbeat.Excluded)
	c.emit(SendMessage{To: from, Message: broker.Message{HeartbeatReply: &broker.HeartbeatReply{
		Sequence:   heartbeat.Sequence,
		Generation: c.membership.Generation,
		Excluded:   c.exclusions(),
		Revision:   c.revision,
		Granted:    granted,
		Leaving:    c.leaving,
	}}})
}

// recordGrant records a grant as valid from the send time of the heartbeat that it answers.
func (c *Core) recordGrant(p *peer, reply *broker.HeartbeatReply) {
	s := c.sent[reply.Sequence%sentHistorySize]
	if !reply.Granted || s.sequence != reply.Sequence || s.at.IsZero() {
		return
	}
	if s.generation != c.membership.Generation || reply.Generation != c.membership.Generation {
		return
	}
	if s.at.After(p.grantStart) {
		p.grantStart = s.at
	}
}

func (c *Core) leave() {
	c.leaving = true
	if c.member {
		c.exclude(c.self.ID)
	}
}

func (c *Core) acceptRelease(e ReleaseReceived) {
	for _, key := range e.Keys {
		// A release by the owner in this generation means that it has excluded itself, unless it ranks after this
		// member: then it became owner because this member left, and released the key when the generation began.
		s := c.keyStates[key]
		if s != nil && e.Generation == c.membership.Generation && s.owner == e.From &&
			slices.Index(s.rank, e.From) < slices.Index(s.rank, c.self.ID) {
			c.exclude(e.From)
		}
		if r, ok := c.releases[key]; !ok || r.generation <= e.Generation {
			c.releases[key] = release{from: e.From, generation: e.Generation, cleared: e.Cleared}
		}
	}
	// A member that has left forwards the release, which updateOwners does.
	c.ownersStale = c.ownersStale || c.isExcluded(c.self.ID)
}
