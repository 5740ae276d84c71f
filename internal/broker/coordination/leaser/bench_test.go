package leaser

import (
	"fmt"
	"testing"

	"github.com/yuccarock/yuccarock/internal/broker"
)

// benchCore returns a core that holds its lease in a cell, with a function that passes one heartbeat interval: its
// ticks, and a heartbeat and a reply of each other member.
func benchCore(b *testing.B, members, servers int) (core *Core, interval func()) {
	list := make([]broker.Member, members)
	for i := range list {
		list[i] = broker.Member{ID: broker.NodeID(fmt.Sprintf("n%02d/1", i)), Zone: fmt.Sprintf("z%d", i%3), Peer: simPeer(i)}
	}
	core = New(DefaultSettings(), list[0], simStart)
	now := simStart
	core.Step(now, Adopt{Membership: broker.Membership{Generation: 1, Members: list}})
	core.Step(now, Assign{Resources: benchResources(servers)})
	interval = func() {
		for range DefaultSettings().Heartbeat / DefaultSettings().Tick {
			now = now.Add(DefaultSettings().Tick)
			core.Step(now, Tick{})
		}
		generation := core.membership.Generation
		for _, m := range core.membership.Members {
			if m.ID != core.self.ID {
				core.Step(now, Received{From: m.ID, Heartbeat: &broker.Heartbeat{Generation: generation, Revision: 1}})
				core.Step(now, Received{From: m.ID, Reply: &broker.HeartbeatReply{
					Sequence: core.sequence, Generation: generation, Granted: true,
				}})
			}
		}
	}
	for range 2 * DefaultSettings().Wait / DefaultSettings().Heartbeat {
		interval()
	}
	if core.Lifecycle() != LeaseHeld || !core.MayDispatch(owned(core), now) {
		b.Fatalf("got lease %v without a server to dispatch to", core.Lifecycle())
	}
	return core, interval
}

// owned returns a server that the core owns.
func owned(core *Core) broker.ServerName {
	for key, slot := range core.slots {
		if slot.owner == core.self.ID {
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

// BenchmarkSlopeInterval measures the decisions of one member in one heartbeat interval of 250 ms.
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

// BenchmarkSlopeGeneration measures the change to a generation with the same members.
func BenchmarkSlopeGeneration(b *testing.B) {
	run := func(members, servers int) func(*testing.B) {
		return func(b *testing.B) {
			core, _ := benchCore(b, members, servers)
			next := core.membership
			for b.Loop() {
				core.past = nil // as if each earlier generation had been confirmed
				next.Generation++
				core.Step(core.lastTick, Adopt{Membership: next})
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
