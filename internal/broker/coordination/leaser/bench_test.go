package leaser

import (
	"fmt"
	"testing"

	"github.com/yuccarock/yuccarock/internal/broker"
)

// benchCore returns a core that holds its lease, and a function that simulates one heartbeat interval: the ticks of
// the core, and a heartbeat and a reply from each other member.
func benchCore(b *testing.B, members, servers int) (core *Core, interval func()) {
	list := make([]broker.Member, members)
	for i := range list {
		list[i] = broker.Member{ID: broker.NodeID(fmt.Sprintf("n%02d/1", i)), Zone: fmt.Sprintf("z%d", i%3), Peer: simPeer(i)}
	}
	core = New(DefaultSettings(), list[0], simStart)
	now := simStart
	core.Step(now, AdoptMembership{Membership: broker.Membership{Generation: 1, Members: list}})
	core.Step(now, AssignResources{Resources: benchResources(servers)})
	interval = func() {
		for range DefaultSettings().HeartbeatInterval / DefaultSettings().TickInterval {
			now = now.Add(DefaultSettings().TickInterval)
			core.Step(now, Tick{})
		}
		generation := core.membership.Generation
		for _, m := range core.membership.Members {
			if m.ID != core.self.ID {
				core.Step(now, MessageReceived{From: m.ID, Heartbeat: &broker.Heartbeat{Generation: generation, Revision: 1}})
				core.Step(now, MessageReceived{From: m.ID, Reply: &broker.HeartbeatReply{
					Sequence: core.sequence, Generation: generation, Granted: true,
				}})
			}
		}
	}
	for range 2 * DefaultSettings().TakeoverWait / DefaultSettings().HeartbeatInterval {
		interval()
	}
	if core.Lifecycle() != LeaseHeld || !core.MayDispatch(ownedServer(core), now) {
		b.Fatalf("got lease %v and no server to dispatch to, want a held lease and a server", core.Lifecycle())
	}
	return core, interval
}

// ownedServer returns a server that the core owns.
func ownedServer(core *Core) broker.ServerName {
	for key, state := range core.keyStates {
		if state.owner == core.self.ID {
			return key.Server
		}
	}
	return ""
}

func benchResources(servers int) []Resource {
	resources := make([]Resource, servers)
	for i := range resources {
		resources[i] = Resource{Key: simKey(i), Zone: fmt.Sprintf("z%d", i%3)}
	}
	return resources
}

var benchMembers = []int{3, 5, 7, 9, 20, 50}

// BenchmarkSlopeInterval measures the work of one member in one heartbeat interval of 250 ms.
func BenchmarkSlopeInterval(b *testing.B) {
	run := func(members, servers int) func(*testing.B) {
		return func(b *testing.B) {
			_, interval := benchCore(b, members, servers)
			for b.Loop() {
				interval()
			}
		}
	}
	for _, members := range benchMembers {
		b.Run(fmt.Sprintf("servers28/members=%d", members), run(members, 28))
	}
	for _, servers := range []int{28, 120, 480, 960, 2800} {
		b.Run(fmt.Sprintf("members7/servers=%d", servers), run(7, servers))
	}
}

// BenchmarkSlopeGeneration measures a generation change that keeps the members.
func BenchmarkSlopeGeneration(b *testing.B) {
	run := func(members, servers int) func(*testing.B) {
		return func(b *testing.B) {
			core, _ := benchCore(b, members, servers)
			next := core.membership
			for b.Loop() {
				core.unconfirmed = nil // as if each earlier generation had been confirmed
				next.Generation++
				core.Step(core.lastTick, AdoptMembership{Membership: next})
			}
		}
	}
	for _, members := range benchMembers {
		b.Run(fmt.Sprintf("servers28/members=%d", members), run(members, 28))
	}
	for _, servers := range []int{28, 120, 480, 960, 2800} {
		b.Run(fmt.Sprintf("members7/servers=%d", servers), run(7, servers))
	}
}
