package leaser

import (
	"testing"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
)

// harness drives the core of member b; the test supplies the messages of the other members.
type harness struct {
	t       *testing.T
	core    *Core
	now     time.Time
	actions []Action
}

func memberList(ids ...broker.NodeID) []broker.Member {
	members := make([]broker.Member, len(ids))
	for i, id := range ids {
		members[i] = broker.Member{ID: id, Peer: simPeer(int(id[0]))}
	}
	return members
}

func newHarness(t *testing.T, members ...broker.NodeID) *harness {
	h := &harness{t: t, now: simStart, core: New(DefaultSettings(), memberList("b")[0], simStart)}
	resources := make([]Resource, 60)
	for i := range resources {
		resources[i].Key = simKey(i)
	}
	h.step(AssignResources{Resources: resources})
	if len(members) > 0 {
		h.step(AdoptMembership{Membership: broker.Membership{Generation: 1, Members: memberList(members...)}})
	}
	return h
}

func (h *harness) step(event Event) []Action {
	actions := h.core.Step(h.now, event)
	h.actions = append(h.actions, actions...)
	return actions
}

// advance moves the time forward while members answer each heartbeat with a grant and report excluded.
func (h *harness) advance(
	d time.Duration, generation broker.Generation, excluded []broker.NodeID, members ...broker.NodeID,
) {
	for end := h.now.Add(d); h.now.Before(end); h.now = h.now.Add(h.core.settings.TickInterval) {
		for _, action := range h.step(Tick{}) {
			send, ok := action.(SendMessage)
			if !ok || send.Message.Heartbeat == nil {
				continue
			}
			for _, id := range members {
				if id == send.To {
					h.step(MessageReceived{From: id, Reply: &broker.HeartbeatReply{
						Sequence: send.Message.Heartbeat.Sequence, Generation: generation, Excluded: excluded, Granted: true,
					}})
				}
			}
		}
	}
}

func (h *harness) countActions(wanted func(Action) bool) int {
	count := 0
	for _, action := range h.actions {
		if wanted(action) {
			count++
		}
	}
	return count
}

func isGained(a Action) bool   { _, ok := a.(KeysGained); return ok }
func isHandover(a Action) bool { _, ok := a.(Handover); return ok }

func nextGeneration(generation broker.Generation, members ...broker.NodeID) broker.Membership {
	return broker.Membership{
		Generation: generation, Members: memberList(members...),
		PreviousGeneration: generation - 1, Previous: memberList("a", "b", "c"),
	}
}

// TestExclusionSurvivesGeneration guards against a new generation that lifts the exclusion of a member from which
// another has taken over, and against a release by the excluded member that shortens the takeover wait.
func TestExclusionSurvivesGeneration(t *testing.T) {
	h := newHarness(t, "a", "b", "c")
	h.advance(time.Second, 1, []broker.NodeID{"a"}, "c")
	h.step(AdoptMembership{Membership: nextGeneration(2, "a", "b", "c", "d")})
	var keys []Key
	for _, r := range h.core.resources {
		keys = append(keys, r.Key)
	}
	for _, action := range h.step(MessageReceived{From: "a", Heartbeat: &broker.Heartbeat{Generation: 2}}) {
		if send, ok := action.(SendMessage); ok {
			if reply := send.Message.HeartbeatReply; reply.Granted || !containsID(reply.Excluded, "a") {
				t.Errorf("got granted %v, excluded %v, want no grant for a and a excluded", reply.Granted, reply.Excluded)
			}
		}
	}
	h.step(ReleaseReceived{From: "a", Generation: 2, Keys: keys})
	h.advance(time.Second, 2, []broker.NodeID{"a"}, "c", "d")
	if got := h.countActions(func(a Action) bool { return isGained(a) && !a.(KeysGained).Planned }); got != 0 {
		t.Errorf("got %d unplanned gains within 1 s of the new generation, want 0", got)
	}
	h.actions = nil
	h.advance(2*time.Second, 2, []broker.NodeID{"a"}, "c", "d")
	if got := h.countActions(isGained); got == 0 {
		t.Error("got no gain after the wait, want one")
	}
}

// TestSilenceOfNewMembers guards against a partitioned member that treats a member known only from the store as heard
// and excludes the others, which exclude it. If the new member is lost as well, no majority is left.
func TestSilenceOfNewMembers(t *testing.T) {
	h := newHarness(t, "a", "b", "c")
	h.advance(time.Second, 1, nil, "a", "c")
	h.advance(3*time.Second, 1, nil)
	h.step(AdoptMembership{Membership: nextGeneration(2, "b", "c", "d")})
	h.advance(time.Second, 2, nil)
	if got := h.core.exclusions(); len(got) > 0 {
		t.Errorf("got exclusions %v by a member that hears nobody, want none", got)
	}
}

// TestSilenceAfterRejoins guards against a member that rejoins several times within the silence timeout and then
// excludes a healthy one, whose link to each of its incarnations had yet to come up.
func TestSilenceAfterRejoins(t *testing.T) {
	h := newHarness(t, "a", "b", "c")
	timeout := h.core.settings.SilenceTimeout
	h.advance(time.Second, 1, nil, "a", "c")
	for i, self := range []broker.NodeID{"b1", "b2", "b3", "b4"} {
		previous := h.core
		h.core = New(DefaultSettings(), memberList(self)[0], h.now)
		h.core.InheritObservations(previous)
		generation := broker.Generation(2 + i)
		h.step(AdoptMembership{Membership: nextGeneration(generation, "a", self, "c")})
		h.advance(timeout/3, generation, nil, "c")
		if h.core.isExcluded("a") {
			t.Fatalf("incarnation %s: a is excluded within %s of joining, want it kept", self, timeout/3)
		}
	}
	h.advance(timeout, 5, nil, "c")
	if !h.core.isExcluded("a") {
		t.Errorf("got a kept although it stayed silent for %s, want it excluded", timeout)
	}
}

// TestLateReleaseToLeavingMember guards against a leaving member that excludes a healthy one, because the release that
// the healthy one sent when the generation began arrives after the leaving member has handed over the key.
func TestLateReleaseToLeavingMember(t *testing.T) {
	h := newHarness(t, "a", "b")
	h.advance(5*time.Second, 1, nil, "a")
	var keys []Key
	for _, r := range h.core.resources {
		if h.core.Owner(r.Key) == "b" {
			keys = append(keys, r.Key)
		}
	}
	h.step(Leave{})
	h.step(ReleaseReceived{From: "a", Generation: 1, Keys: keys})
	if got := h.core.exclusions(); len(keys) == 0 || containsID(got, "a") {
		t.Errorf("got exclusions %v after a late release of %d keys by a, want b only", got, len(keys))
	}
}

// TestReleaseToLeavingMember guards against lost claims when two members leave one after the other and the release of
// the first reaches the second before or after the second has left.
func TestReleaseToLeavingMember(t *testing.T) {
	for _, after := range []bool{false, true} {
		h := newHarness(t, "a", "b", "c")
		h.advance(time.Second, 1, nil, "a", "c")
		var keys []Key
		for _, r := range h.core.resources {
			if rank := h.core.keyStates[r.Key].rank; rank[0] == "a" && rank[1] == "b" {
				keys = append(keys, r.Key)
			}
		}
		if after {
			h.step(Leave{})
		}
		h.step(ReleaseReceived{From: "a", Generation: 1, Keys: keys, Cleared: true})
		if !after {
			h.step(Leave{})
		}
		handed := 0
		for _, action := range h.actions {
			if a, ok := action.(Handover); ok && a.To == "c" && a.Cleared {
				handed += len(a.Keys)
			}
		}
		if len(keys) == 0 || handed < len(keys) {
			t.Errorf("leaving before the release %v: got %d of %d keys handed over to c", after, handed, len(keys))
		}
	}
}

// TestEarlierGenerationsAreConfirmed guards against a member that enters a later generation without waiting for the
// majority of a generation before the previous one.
func TestEarlierGenerationsAreConfirmed(t *testing.T) {
	h := newHarness(t)
	late := nextGeneration(3, "b", "d", "e")
	late.Previous = memberList("b", "d", "e")
	late.Earlier = []broker.PastMembers{{Generation: 1, Members: memberList("a", "b", "c")}}
	h.step(AdoptMembership{Membership: late})
	h.advance(5*time.Second, 3, nil, "d", "e")
	if _, confirmed := h.core.ConfirmedGeneration(); confirmed || h.countActions(isGained) > 0 {
		t.Errorf("got confirmed %v, %d gains without a or c, want neither", confirmed, h.countActions(isGained))
	}
	h.step(MessageReceived{From: "c", Heartbeat: &broker.Heartbeat{Generation: 3}})
	h.advance(3*time.Second, 3, nil, "d", "e")
	if h.countActions(isGained) == 0 {
		t.Error("got no gain after c reported the generation, want one")
	}
}

// TestTenureAcrossGenerations guards against a member that keeps or hands over keys in a new generation although
// another member may have taken them over in an earlier one.
func TestTenureAcrossGenerations(t *testing.T) {
	tests := []struct {
		name           string
		before, after  time.Duration // silence of the other members before and after the generation change
		suspended      bool
		generation     broker.Generation
		handover, kept bool
	}{
		{name: "live lease", generation: 2, handover: true, kept: true},
		{name: "lapsed before the generation", before: 3 * time.Second, generation: 2},
		{name: "lapsed before the confirmation", after: 3 * time.Second, generation: 2, handover: true},
		{name: "suspended before the generation", suspended: true, generation: 2},
		{name: "generation skipped", generation: 5},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, "a", "b", "c")
			h.advance(5*time.Second, 1, nil, "a", "c")
			h.advance(tt.before, 1, nil)
			if tt.suspended {
				h.core.dropGrants(h.now)
			}
			h.step(AdoptMembership{Membership: nextGeneration(tt.generation, "a", "b", "c", "d")})
			h.advance(tt.after, tt.generation, nil)
			h.advance(time.Second, tt.generation, nil, "a", "c", "d")
			kept := false
			for _, r := range h.core.resources {
				kept = kept || h.core.MayAct(r.Key, h.now)
			}
			if got := h.countActions(isHandover) > 0; got != tt.handover || kept != tt.kept {
				t.Errorf("got handover %v, kept %v, want %v, %v", got, kept, tt.handover, tt.kept)
			}
		})
	}
}

// TestGrantCountsFromSend guards against a late reply that extends the lease beyond the takeover wait of the others.
func TestGrantCountsFromSend(t *testing.T) {
	h := newHarness(t, "a", "b", "c")
	h.advance(5*time.Second, 1, nil, "a", "c")
	h.advance(h.core.settings.HeartbeatInterval, 1, nil)
	sequence := h.core.sequence
	sent := h.core.sent[sequence%sentHistorySize].at
	h.advance(1500*time.Millisecond, 1, nil)
	h.step(MessageReceived{From: "a", Reply: &broker.HeartbeatReply{Sequence: sequence, Generation: 1, Granted: true}})
	end := sent.Add(h.core.settings.LeaseDuration)
	for _, r := range h.core.resources {
		if h.core.MayAct(r.Key, end) {
			t.Fatalf("may act as owner of %s %v after the last granted heartbeat, want no right", r.Key.Server, end.Sub(sent))
		}
	}
}

// TestAssignReplacesKeys guards against an added server without an owner when others are removed at the same time.
func TestAssignReplacesKeys(t *testing.T) {
	h := newHarness(t, "a", "b", "c")
	h.advance(5*time.Second, 1, nil, "a", "c")
	added := Key{Server: "added"}
	h.step(AssignResources{Resources: []Resource{{Key: added}}})
	if got := h.core.Owner(added); got == "" {
		t.Error("got no owner of an added server, want one")
	}
}

// TestLeaseOnTwoClocks guards against a lease that stays valid after a suspension that the monotonic clock did not
// count, or after the wall clock was set back.
func TestLeaseOnTwoClocks(t *testing.T) {
	var l lease
	l.set(simStart.Add(2*time.Second), simStart)
	at := func(d time.Duration) int64 { return simStart.Add(d).UnixNano() }
	if !l.validAt(time.Second, at(time.Second)) {
		t.Error("got no lease before the expiry, want one")
	}
	if l.validAt(time.Second, at(time.Minute)) || l.validAt(time.Minute, at(time.Second)) {
		t.Error("got a lease after the expiry on one clock, want none")
	}
}
