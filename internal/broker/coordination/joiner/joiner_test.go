package joiner

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
)

// large adds cells of 20 and 50 nodes, which take half a minute and are larger than any site runs.
var large = flag.Bool("large", false, "measure cells of 20 and 50 nodes too")

// waitUntil advances the virtual clock of the synctest bubble until done returns true, and returns the time taken.
func waitUntil(t *testing.T, limit time.Duration, what string, done func() bool) time.Duration {
	t.Helper()
	begin := time.Now()
	for !done() {
		if time.Since(begin) > limit {
			t.Fatalf("got no %s within %v", what, limit)
		}
		<-time.After(10 * time.Millisecond)
		synctest.Wait()
	}
	return time.Since(begin)
}

// countOwners returns the numbers of servers to which no node, one node and more nodes may dispatch.
func countOwners(nodes []*node) (none, one, more int) {
	for i := range serverCount {
		count := 0
		for _, n := range nodes {
			if n.joiner.MayDispatch(broker.ServerName(fmt.Sprintf("s%d", i))) {
				count++
			}
		}
		switch count {
		case 0:
			none++
		case 1:
			one++
		default:
			more++
		}
	}
	return none, one, more
}

func allOwned(t *testing.T, nodes []*node) func() bool {
	return func() bool {
		none, _, more := countOwners(nodes)
		if more > 0 {
			t.Fatalf("got %d servers with two owners, want 0", more)
		}
		return none == 0
	}
}

// startCluster starts nodes with a configuration in the store and waits until every server has an owner.
func startCluster(t *testing.T, count int) (*fakeStore, *network, []*node) {
	store := newFakeStore()
	store.objects[ConfigKey] = broker.Object{Key: ConfigKey, Version: 1, Value: []byte("first")}
	w := newNetwork()
	nodes := make([]*node, count)
	for i := range nodes {
		nodes[i] = w.start(t, store, fmt.Sprintf("n%d", i), 1, i)
	}
	t.Logf("all servers owned after %v", waitUntil(t, 30*time.Second, "owners", allOwned(t, nodes)))
	return store, w, nodes
}

func stopAll(nodes []*node) {
	for _, n := range nodes {
		n.cancel()
		<-n.joiner.stopped
	}
}

func revisionInForce(nodes []*node, revision broker.Revision) func() bool {
	return func() bool {
		for _, n := range nodes {
			if n.joiner.Revision() != revision {
				return false
			}
		}
		return true
	}
}

// TestConfigurationInForce guards against a configuration that takes more than 5 s to be in force at all of 7 nodes.
func TestConfigurationInForce(t *testing.T) {
	tests := []struct {
		name   string
		before func(*fakeStore)
		after  func(*fakeStore, []*node)
	}{
		{name: "store healthy"},
		{name: "store slow", before: func(s *fakeStore) { s.latency = 900 * time.Millisecond }},
		{name: "watch lags", before: func(s *fakeStore) { s.watchLag = time.Minute }},
		{name: "store down right after acceptance", after: func(s *fakeStore, nodes []*node) {
			s.down = true
			nodes[3].joiner.Offer(broker.ConfigObject{Revision: 2, Value: []byte("second")})
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store, _, nodes := startCluster(t, 7)
				defer stopAll(nodes)
				if tt.before != nil {
					store.set(func() { tt.before(store) })
				}
				<-time.After(5 * time.Second)
				store.mu.Lock()
				store.objects[ConfigKey] = broker.Object{Key: ConfigKey, Version: 2, Value: []byte("second")}
				if tt.after != nil {
					tt.after(store, nodes)
				}
				store.mu.Unlock()
				store.set(func() {})
				got := waitUntil(t, 5*time.Second, "second revision everywhere", revisionInForce(nodes, 2))
				t.Logf("in force at 7 nodes after %v", got)
				nodes[0].joiner.HandleMessage("late", broker.Message{Config: &broker.ConfigObject{
					Revision: 1, Value: []byte("first"),
				}})
				synctest.Wait()
				if got := nodes[0].joiner.Revision(); got != 2 {
					t.Errorf("got revision %d after a late message, want 2", got)
				}
			})
		})
	}
}

// TestNodeDiesAndReturns guards against servers that stay without an owner when a node crashes during a store outage,
// and against a restarted node that is kept out of the member list by a lost reply of the store.
func TestNodeDiesAndReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, w, nodes := startCluster(t, 5)
		store.set(func() { store.down = true })
		nodes[2].stop()
		live := append(append([]*node{}, nodes[:2]...), nodes[3:]...)
		defer func() { stopAll(live) }()
		t.Logf("taken over after %v with the store down", waitUntil(t, 5*time.Second, "owners", allOwned(t, live)))
		back := w.start(t, store, "n2", 2, 2)
		live = append(live, back)
		waitUntil(t, 2*time.Second, "configuration from a peer", revisionInForce(live, 1))
		if got := len(back.joiner.Members()); got != 5 {
			t.Errorf("got %d members from a peer, want 5", got)
		}
		if server := broker.ServerName("s0"); back.joiner.OwnerOf(server) != nodes[0].joiner.OwnerOf(server) {
			t.Errorf("got owner %s at the restarted node, want %s", back.joiner.OwnerOf(server), nodes[0].joiner.OwnerOf(server))
		}
		store.set(func() { store.down, store.loseReply = false, 1 })
		joined := waitUntil(t, 10*time.Second, "membership after a lost reply", back.joiner.isReturnedNodeMember)
		t.Logf("joined %v after the store was available again", joined)
		waitUntil(t, 10*time.Second, "a server at the returned node", func() bool {
			allOwned(t, live)()
			back.mu.Lock()
			defer back.mu.Unlock()
			return len(back.owned) > 0
		})
		nodes[4].stop()
		live = slices.DeleteFunc(live, func(n *node) bool { return n == nodes[4] })
		waitUntil(t, 10*time.Second, "removal of the dead member", func() bool { return len(back.joiner.Members()) == 4 })
	})
}

// TestPartitionedNodeRejoins guards against a second owner while a node is partitioned, and against a node that stays
// excluded after the partition.
func TestPartitionedNodeRejoins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, w, nodes := startCluster(t, 5)
		defer stopAll(nodes)
		claims := func() (holders int) {
			for _, n := range nodes {
				if _, _, may := n.joiner.ClaimPoint("intake", "a"); may {
					holders++
				}
			}
			return holders
		}
		w.cut.Store(nodes[1])
		for i := range 1000 {
			<-time.After(10 * time.Millisecond)
			none, _, more := countOwners(nodes)
			if i > 500 && none > 0 {
				t.Fatalf("got %d servers without an owner %d0 ms after the partition began, want 0", none, i)
			}
			if more > 0 || claims() > 1 {
				t.Fatalf("got %d servers and %d claim points with two owners, want 0", more, claims()/2)
			}
		}
		if nodes[1].joiner.MayDispatch("s1") {
			t.Error("partitioned node may dispatch to s1, want no right to dispatch")
		}
		w.cut.Store(nil)
		took := waitUntil(t, 10*time.Second, "ownership at the returned node", func() bool {
			return allOwned(t, nodes)() && nodes[1].owns() > 0 && claims() == 1
		})
		t.Logf("owns servers again %v after the partition, as %s", took, nodes[1].self.ID)
	})
}

// isReturnedNodeMember returns whether the restarted node n2 is a member; it reads only published state.
func (j *Joiner) isReturnedNodeMember() bool {
	for _, m := range j.Members() {
		if m.ID == "n2/2" {
			return true
		}
	}
	return false
}

// TestRewriteOfChangedList guards against a removal that was decided for an older member list. With that fault, two
// survivors of a lost majority that had excluded each other were both removed, and no server had an owner for another
// 30 s.
func TestRewriteOfChangedList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, _, nodes := startCluster(t, 3)
		defer stopAll(nodes)
		<-time.After(10 * time.Second)
		synctest.Wait()
		j := nodes[0].joiner
		j.post(func() {
			j.startRewrite(j.clock.Now(), []broker.NodeID{"n1/1"})
			store.set(func() {
				object := store.objects[MembersKey("c1")]
				object.Version++
				store.objects[object.Key] = object
			})
		})
		<-time.After(time.Second)
		synctest.Wait()
		if got := len(j.Members()); got != 3 || nodes[1].self.ID != "n1/1" {
			t.Errorf("got %d members and node %s, want 3 members and node n1/1", got, nodes[1].self.ID)
		}
	})
}

// TestLeave guards against a planned stop that leaves a server without an owner for as long as an unplanned takeover.
func TestLeave(t *testing.T) {
	const size = 5
	for i := range 2 * size {
		down := i >= size
		t.Run(fmt.Sprintf("node=%d,storeDown=%v", i%size, down), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store, w, nodes := startCluster(t, size)
				defer stopAll(nodes)
				leaver := nodes[i%size]
				// With slow messages the removal from the member list could take effect before the release arrives.
				w.latency.Store(int64(150 * time.Millisecond))
				store.set(func() { store.down = down })
				left := make(chan error, 1)
				go func() {
					ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
					defer cancel()
					left <- leaver.joiner.Leave(ctx)
				}()
				waitUntil(t, time.Second, "release", func() bool { return leaver.owns() == 0 })
				gap := waitUntil(t, 400*time.Millisecond, "owners", allOwned(t, nodes))
				planned := 0
				for _, n := range nodes {
					n.mu.Lock()
					planned += n.planned
					n.mu.Unlock()
				}
				t.Logf("%d servers owned again %v after the release", planned, gap)
				if planned == 0 {
					t.Error("got no planned handover, want one for each server of the node")
				}
				if err := <-left; (err != nil) != down {
					t.Errorf("got error %v, want one only while the store is down", err)
				}
			})
		})
	}
}

// TestRollingRestart guards against planned restarts that leave a server without an owner for longer than 150 ms.
func TestRollingRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 150 * time.Millisecond
		store, w, nodes := startCluster(t, 7)
		defer func() { stopAll(nodes) }()
		longest := time.Duration(0)
		pass := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); {
				longest = max(longest, waitUntil(t, time.Second, "owners", allOwned(t, nodes)))
				<-time.After(10 * time.Millisecond)
			}
		}
		for i := range nodes {
			left := make(chan error, 1)
			go func() { left <- nodes[i].joiner.Leave(context.Background()) }()
			pass(3 * time.Second)
			if err := <-left; err != nil {
				t.Error(err)
			}
			nodes[i].stop()
			nodes[i] = w.start(t, store, fmt.Sprintf("n%d", i), 2, i)
			pass(4 * time.Second)
		}
		t.Logf("at most %v without an owner in 7 restarts", longest)
		if longest > limit {
			t.Errorf("got %v without an owner, want at most %v", longest, limit)
		}
	})
}

// TestZoneOut guards against a node that stays an owner while its zone is out, or owns nothing once the zone is back.
func TestZoneOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, _, nodes := startCluster(t, 7)
		defer stopAll(nodes)
		submit := func(version uint64, value string) {
			store.set(func() {
				store.objects[ConfigKey] = broker.Object{Key: ConfigKey, Version: version, Value: []byte(value)}
			})
		}
		owned := func() int { return nodes[0].owns() + nodes[3].owns() + nodes[6].owns() }
		submit(2, "out")
		t.Logf("no owners in the zone after %v", waitUntil(t, 3*time.Second, "release", func() bool { return owned() == 0 }))
		t.Logf("all servers owned %v later", waitUntil(t, 5*time.Second, "owners", allOwned(t, nodes)))
		<-time.After(5 * time.Second)
		submit(3, "in")
		t.Logf("owners in the zone again after %v", waitUntil(t, 10*time.Second, "owners in the zone", func() bool {
			return nodes[0].owns() > 0 && nodes[3].owns() > 0 && nodes[6].owns() > 0 && allOwned(t, nodes)()
		}))
	})
}

// TestIdleTraffic guards against membership traffic above its share of a node's budget of 3 KB/s for control, and logs
// the messages, bytes and store calls of idle cells. It is not a benchmark because only a test can use virtual time.
func TestIdleTraffic(t *testing.T) {
	const (
		limit      = 1000 // bytes per node and second: a third of the budget; server states and crash reports share the rest
		callLimit  = 60
		cellOfSite = 7
	)
	counts := []int{3, 7}
	if *large {
		counts = append(counts, 20, 50)
	}
	for _, count := range counts {
		t.Run(fmt.Sprintf("nodes=%d", count), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store, w, nodes := startCluster(t, count)
				defer stopAll(nodes)
				<-time.After(20 * time.Second)
				synctest.Wait()
				store.mu.Lock()
				calls := store.calls
				store.mu.Unlock()
				w.measure.Store(true)
				<-time.After(time.Minute)
				synctest.Wait()
				w.measure.Store(false)
				perNode := float64(w.bytes.Load()) / 60 / float64(count)
				store.mu.Lock()
				calls = store.calls - calls
				store.mu.Unlock()
				t.Logf("%d nodes: %.0f messages and %.0f bytes sent per node and second, %d store calls per minute",
					count, float64(w.messages.Load())/60/float64(count), perNode, calls)
				if count <= cellOfSite && perNode > limit {
					t.Errorf("got %.0f bytes per node and second, want at most %d", perNode, limit)
				}
				if calls > callLimit {
					t.Errorf("got %d store calls per minute, want at most %d", calls, callLimit)
				}
			})
		})
	}
}
