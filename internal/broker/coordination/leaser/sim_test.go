package leaser

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/adopter"
	"github.com/yuccarock/yuccarock/internal/broker/state/holder"
	"github.com/yuccarock/yuccarock/internal/broker/state/indexer"
	"github.com/yuccarock/yuccarock/pkg/configurator"
)

// simStart is the wall-clock time at which simulations begin.
var simStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const simServers = 6

type simEvent struct {
	at    time.Duration
	order int
	run   func()
}

// simNode is one host and its current process.
type simNode struct {
	host        int
	incarnation int
	self        broker.Member
	core        *Core
	adopter     *adopter.Adopter
	highest     broker.Revision
	membership  broker.Membership
	rate        float64
	alive       bool
	listed      bool // in the host list
	leaving     bool
	pausedUntil time.Duration
	backlog     []func()
	writing     bool
	nextWrite   time.Duration
	nextRead    time.Duration
	storeCut    bool // this host cannot reach the store
}

// sim simulates a cell in virtual time: processes with clocks of different rates, a network and a store.
type sim struct {
	settings Settings
	random   *rand.Rand
	queue    []simEvent // in order of time, then of order
	order    int
	now      time.Duration
	nodes    []*simNode

	delay     time.Duration // largest message delay
	loss      float64
	duplicate float64
	cut       map[[2]int]bool       // one-way links that drop all messages
	hostDelay map[int]time.Duration // added to messages to a host

	storeDown        bool
	storeSlow        time.Duration
	lostReply        float64
	storedMembership broker.Membership
	config           broker.ConfigObject
	lastValid        broker.Revision

	// mayOverride replaces the check before dispatch in tests that inject a fault there.
	mayOverride func(core *Core, key Key, now time.Time) bool
	violation   string
	trace       []string
	holders     map[broker.ServerName]int
	gapStart    map[broker.ServerName]time.Duration
	gaps        map[broker.ServerName]time.Duration // longest time without a holder
}

// newSim returns a cell. The last late hosts do not run until startLateHosts.
func newSim(nodes, late int, seed uint64, settings Settings) *sim {
	s := &sim{
		settings: settings, random: rand.New(rand.NewPCG(seed, 1)), delay: 5 * time.Millisecond,
		cut: make(map[[2]int]bool), hostDelay: make(map[int]time.Duration), storeSlow: 5 * time.Millisecond,
		holders: make(map[broker.ServerName]int), gapStart: make(map[broker.ServerName]time.Duration),
		gaps: make(map[broker.ServerName]time.Duration),
	}
	for host := range nodes {
		// The fastest clock runs 5% faster than the slowest one.
		n := &simNode{host: host, rate: 1 + 0.05*float64(host)/float64(max(nodes-1, 1)), listed: true}
		s.nodes = append(s.nodes, n)
		if host < nodes-late {
			s.boot(n)
		} else {
			n.self.Peer = simPeer(host)
		}
		s.schedule(time.Duration(s.random.Int64N(int64(settings.TickInterval))), func() { s.tick(n) })
	}
	s.submitConfig(true)
	return s
}

func (s *sim) schedule(after time.Duration, run func()) {
	s.order++
	event := simEvent{at: s.now + after, order: s.order, run: run}
	i, _ := slices.BinarySearchFunc(s.queue, event, func(a, b simEvent) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.order, b.order))
	})
	s.queue = slices.Insert(s.queue, i, event)
}

func (s *sim) run(until time.Duration) {
	for s.violation == "" && len(s.queue) > 0 && s.queue[0].at <= until {
		event := s.queue[0]
		s.queue = s.queue[1:]
		s.now = event.at
		event.run()
		s.checkOwners()
	}
	s.now = until
}

func (s *sim) clock(n *simNode) time.Time {
	return simStart.Add(time.Duration(float64(s.now) * n.rate))
}

func (s *sim) boot(n *simNode) {
	n.alive, n.leaving, n.listed = true, false, true
	n.membership, n.backlog, n.pausedUntil = broker.Membership{}, nil, 0
	n.adopter = adopter.New(simValidate, holder.New[indexer.Table](nil))
	n.highest, n.core = 0, nil
	s.newIncarnation(n)
}

func (s *sim) newIncarnation(n *simNode) {
	n.incarnation++
	n.writing = false
	n.self = broker.Member{
		ID:   broker.NodeID(fmt.Sprintf("n%d/%d", n.host, n.incarnation)),
		Zone: fmt.Sprintf("z%d", n.host%3),
		Peer: simPeer(n.host),
	}
	previous := n.core
	n.core = New(s.settings, n.self, simStart)
	if previous != nil {
		n.core.InheritObservations(previous)
	}
	n.core.SetRevision(n.adopter.Revision())
	s.step(n, AdoptMembership{Membership: n.membership})
	resources := make([]Resource, simServers)
	for i := range resources {
		resources[i] = Resource{Key: simKey(i), Zone: fmt.Sprintf("z%d", i%3)}
	}
	s.step(n, AssignResources{Resources: resources})
}

func simPeer(host int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(host)}), 9000)
}

func simKey(i int) Key { return Key{Server: broker.ServerName(fmt.Sprintf("s%d", i))} }

func simValidate(value []byte) (*configurator.Config, error) {
	if string(value) == "invalid" {
		return nil, errors.New("planted")
	}
	return &configurator.Config{Name: string(value)}, nil
}

// runOn runs a function at a node after a delay. If the node is paused, the function runs once it wakes; if its
// incarnation has ended, the function does not run.
func (s *sim) runOn(n *simNode, after time.Duration, run func()) {
	id := n.self.ID
	guarded := func() {
		if n.alive && n.self.ID == id {
			run()
		}
	}
	s.schedule(after, func() {
		if s.now < n.pausedUntil {
			n.backlog = append(n.backlog, guarded)
		} else {
			guarded()
		}
	})
}

func (s *sim) tick(n *simNode) {
	s.schedule(s.settings.TickInterval, func() { s.tick(n) })
	if !n.alive || s.now < n.pausedUntil {
		return
	}
	backlog := n.backlog
	n.backlog = nil
	// A process that wakes may handle its timer or its messages first.
	if s.random.IntN(2) == 0 {
		s.step(n, Tick{})
	}
	for _, run := range backlog {
		run()
		s.checkOwners()
	}
	s.step(n, Tick{})
	member := containsMember(n.membership.Members, n.self.ID)
	switch {
	case s.now < n.nextWrite || n.writing:
	case n.leaving && member:
		s.writeMembership(n, n.self.ID)
	case !n.leaving && !member && n.core.Lifecycle() != LeaseReleased:
		s.writeMembership(n)
	}
	if s.now >= n.nextRead {
		n.nextRead = s.now + time.Second/2
		s.readStore(n)
	}
}

func (s *sim) step(n *simNode, event Event) {
	for _, action := range n.core.Step(s.clock(n), event) {
		s.perform(n, action)
	}
	if revision := n.adopter.Revision(); revision < n.highest {
		s.recordViolation("revision at %s went back from %d to %d", n.self.ID, n.highest, revision)
	} else {
		n.highest = revision
	}
}

func (s *sim) perform(n *simNode, action Action) {
	switch a := action.(type) {
	case SendMessage:
		s.send(n, a.To, func(to *simNode) {
			r := MessageReceived{From: n.self.ID, Heartbeat: a.Message.Heartbeat, Reply: a.Message.HeartbeatReply}
			s.step(to, r)
			if r.Heartbeat != nil && to.adopter.ShouldFetch(r.Heartbeat.Revision) {
				s.send(to, r.From, func(from *simNode) {
					if object := from.adopter.Object(); object != nil {
						s.send(from, to.self.ID, func(to *simNode) { s.offerConfig(to, *object) })
					}
				})
			}
		})
	case PushMembership:
		membership := n.membership
		s.send(n, a.To, func(to *simNode) { s.adopt(to, membership) })
	case Handover:
		from := n.self.ID
		s.send(n, a.To, func(to *simNode) {
			s.step(to, ReleaseReceived{From: from, Generation: a.Generation, Keys: a.Keys, Cleared: a.Cleared})
		})
	case RewriteMembership:
		if !n.writing {
			s.writeMembership(n, a.Remove...)
		}
	case Rejoin:
		s.runOn(n, 300*time.Millisecond, func() { s.newIncarnation(n) })
	case KeysGained:
		s.tracef("%s gained %s planned=%v", n.self.ID, joinNames(a.Keys), a.Planned)
	case KeysLost:
		s.tracef("%s lost %s planned=%v", n.self.ID, joinNames(a.Keys), a.Planned)
	case LifecycleChanged:
		s.tracef("%s lease %s -> %s", n.self.ID, a.From, a.To)
	}
}

func joinNames(keys []Key) string {
	list := make([]string, len(keys))
	for i, key := range keys {
		list[i] = string(key.Server)
	}
	slices.Sort(list)
	return strings.Join(list, ",")
}

func (s *sim) tracef(format string, args ...any) {
	s.trace = append(s.trace, fmt.Sprintf("%7.2f ", s.now.Seconds())+fmt.Sprintf(format, args...))
}

func (s *sim) recordViolation(format string, args ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf("at %v: ", s.now) + fmt.Sprintf(format, args...)
	}
}

// send delivers a message to the process with the given node ID, subject to the current network faults.
func (s *sim) send(from *simNode, to broker.NodeID, deliver func(*simNode)) {
	var host, incarnation int
	if _, err := fmt.Sscanf(string(to), "n%d/%d", &host, &incarnation); err != nil {
		panic(err)
	}
	if s.cut[[2]int{from.host, host}] || s.random.Float64() < s.loss {
		return
	}
	target := s.nodes[host]
	if target.self.ID != to {
		return
	}
	delay := s.hostDelay[host] + time.Duration(s.random.Int64N(int64(s.delay)))
	s.runOn(target, delay, func() { deliver(target) })
	if s.random.Float64() < s.duplicate {
		s.runOn(target, time.Duration(s.random.Int64N(int64(3*s.delay))), func() { deliver(target) })
	}
}

func (s *sim) adopt(n *simNode, membership broker.Membership) {
	if membership.Generation > n.membership.Generation {
		n.membership = membership
		s.step(n, AdoptMembership{Membership: membership})
	}
}

func (s *sim) offerConfig(n *simNode, object broker.ConfigObject) {
	_, _ = n.adopter.Offer(object)
	n.core.SetRevision(n.adopter.Revision())
}

// submitConfig writes a valid or invalid configuration to the store.
func (s *sim) submitConfig(valid bool) {
	s.config = broker.ConfigObject{Revision: s.config.Revision + 1, Value: []byte("invalid")}
	if valid {
		s.config.Value, s.lastValid = []byte("valid"), s.config.Revision
	}
}

func (s *sim) storeLatency() time.Duration {
	return s.storeSlow/2 + time.Duration(s.random.Int64N(int64(s.storeSlow)))
}

// readStore reads the member list and the configuration, and the host list if the core needs it.
func (s *sim) readStore(n *simNode) {
	if s.storeDown || n.storeCut {
		return
	}
	membership, config := s.storedMembership, s.config
	hosts := make([]broker.Host, 0, len(s.nodes))
	for _, other := range s.nodes {
		if other.listed {
			hosts = append(hosts, broker.Host{Address: other.self.Peer.Addr(), State: broker.HostLive})
		}
	}
	s.runOn(n, s.storeLatency(), func() {
		s.adopt(n, membership)
		s.offerConfig(n, config)
		if n.core.NeedsHostList() {
			s.step(n, HostListRead{Hosts: hosts})
		}
	})
}

// writeMembership removes members from the list, or adds the node if none are to be removed and it is not listed.
func (s *sim) writeMembership(n *simNode, remove ...broker.NodeID) {
	n.writing, n.nextWrite = true, s.now+time.Duration(100+s.random.IntN(400))*time.Millisecond
	done := func(result broker.Membership) {
		n.writing = false
		s.adopt(n, result)
	}
	failed := func() { s.runOn(n, time.Second, func() { n.writing = false }) }
	known, confirmed := n.core.ConfirmedGeneration()
	self := n.self
	change := func(members []broker.Member) []broker.Member {
		members = slices.DeleteFunc(members, func(m broker.Member) bool { return slices.Contains(remove, m.ID) })
		if len(remove) == 0 && !containsMember(members, self.ID) {
			members = slices.DeleteFunc(members, func(m broker.Member) bool { return m.Peer == self.Peer })
			members = append(members, self)
		}
		return members
	}
	s.runOn(n, s.storeLatency(), func() {
		if s.storeDown || n.storeCut {
			failed()
			return
		}
		base := s.storedMembership
		next := NextMembership(base, change(slices.Clone(base.Members)), confirmed)
		if next == nil || base.Generation != known {
			done(base)
			return
		}
		// The write reaches the store even if the writer is paused or dead by then.
		s.schedule(s.storeLatency(), func() {
			if s.storeDown || s.storedMembership.Generation != base.Generation {
				failed()
				return
			}
			next.Generation = base.Generation + 1
			s.storedMembership = *next
			s.tracef("generation %d by %s with %d members", next.Generation, self.ID, len(next.Members))
			if s.random.Float64() < s.lostReply {
				failed()
				return
			}
			s.runOn(n, s.storeLatency(), func() { done(*next) })
		})
	})
}

// checkOwners records a violation if two members may dispatch to one server, and measures the times without an owner.
func (s *sim) checkOwners() {
	for i := range simServers {
		key := simKey(i)
		var holders []broker.NodeID
		for _, n := range s.nodes {
			if !n.alive {
				continue
			}
			now := s.clock(n)
			may := n.core.MayAct(key, now)
			if s.mayOverride != nil {
				may = s.mayOverride(n.core, key, now)
			}
			if may {
				holders = append(holders, n.self.ID)
			}
		}
		if len(holders) > 1 {
			s.recordViolation("%s has the holders %v", key.Server, holders)
		}
		if since, gap := s.gapStart[key.Server]; len(holders) > 0 && gap {
			s.gaps[key.Server] = max(s.gaps[key.Server], s.now-since)
			delete(s.gapStart, key.Server)
		} else if len(holders) == 0 && !gap {
			s.gapStart[key.Server] = s.now
		}
		s.holders[key.Server] = len(holders)
	}
}

// unowned returns the servers to which no member may dispatch.
func (s *sim) unowned() []broker.ServerName {
	var list []broker.ServerName
	for i := range simServers {
		if server := simKey(i).Server; s.holders[server] == 0 {
			list = append(list, server)
		}
	}
	return list
}
