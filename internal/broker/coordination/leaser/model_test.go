package leaser

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/yuccarock/yuccarock/internal/broker"
)

const (
	faultTime = 25 * time.Second
	// recoverTime is the stated bound without a lost majority: links, detection, rejoin, lease and wait.
	recoverTime = 15 * time.Second
	// recoverLost adds the confirmation by the host list.
	recoverLost = recoverTime + 35*time.Second
)

// fault applies one random fault for a while.
func (s *sim) fault(t *rapid.T) {
	n := s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(t, "node")]
	length := time.Duration(rapid.IntRange(50, 7000).Draw(t, "milliseconds")) * time.Millisecond
	undo := func(run func()) { s.at(length, run) }
	kind := rapid.SampledFrom([]string{
		"pause", "pause", "crash", "leave", "partition", "oneWay", "loss", "delay", "storeDown", "storeSlow",
		"lostReply", "config", "stale", "restartAll", "storeCut", "accuse", "split", "mute",
	}).Draw(t, "kind")
	s.note("fault %s at n%d for %v", kind, n.host, length)
	switch kind {
	case "pause":
		n.pausedUntil = max(n.pausedUntil, s.now+length)
	case "crash":
		s.crash(n, undo)
	case "leave":
		n.leaving = true
		s.on(n, 0, func() { s.step(n, Leave{}) })
		undo(func() { s.crash(n, func(run func()) { s.at(time.Second/10, run) }) })
	case "partition":
		side := rapid.IntRange(1, 1<<len(s.nodes)-2).Draw(t, "side")
		s.partition(side, true)
		undo(func() { s.partition(side, false) })
	case "oneWay":
		link := [2]int{n.host, rapid.IntRange(0, len(s.nodes)-1).Draw(t, "other")}
		s.cut[link] = true
		undo(func() { delete(s.cut, link) })
	case "loss":
		s.loss, s.duplicate = 0.4, 0.3
		undo(func() { s.loss, s.duplicate = 0, 0 })
	case "delay":
		s.delay = length / 2
		undo(func() { s.delay = 5 * time.Millisecond })
	case "storeDown":
		s.storeDown = true
		undo(func() { s.storeDown = false })
	case "storeSlow":
		s.storeSlow = length / 4
		undo(func() { s.storeSlow = 5 * time.Millisecond })
	case "lostReply":
		s.lostReply = 0.7
		undo(func() { s.lostReply = 0 })
	case "config":
		s.submit(rapid.Bool().Draw(t, "valid"))
	case "stale":
		object := s.config
		s.on(n, length, func() { s.offer(n, object) })
	case "storeCut":
		n.storeCut = true
		undo(func() { n.storeCut = false })
	case "split":
		// One side loses the store too, while the other side starts the late hosts.
		side := rapid.IntRange(1, 1<<len(s.nodes)-2).Draw(t, "side")
		s.split(side, true)
		s.at(length/4, s.grow)
		undo(func() { s.split(side, false) })
	case "mute":
		// Nothing leaves the host, and what was on its way to it comes late.
		s.slow[n.host] = length / 2
		for to := range s.nodes {
			s.cut[[2]int{n.host, to}] = true
		}
		undo(func() {
			delete(s.slow, n.host)
			s.partition(1<<n.host, false)
		})
	case "accuse":
		s.accuse(t, n)
	case "restartAll":
		for _, each := range s.nodes {
			s.crash(each, undo)
		}
	}
}

// accuse lets one member exclude another that still has grants, and then changes the generation while the
// accused, its successor and the rest know different things.
func (s *sim) accuse(t *rapid.T, n *simNode) {
	other := func(label string) *simNode {
		return s.nodes[(n.host+rapid.IntRange(1, len(s.nodes)-1).Draw(t, label))%len(s.nodes)]
	}
	accuser, isolated, restarted := other("accuser"), other("isolated"), other("restarted")
	after := func(label string, low, high int) time.Duration {
		return time.Duration(rapid.IntRange(low, high).Draw(t, label)) * time.Millisecond
	}
	link := [2]int{n.host, accuser.host}
	s.cut[link] = true
	cut := 2*time.Second + after("cut", 0, 400)
	s.at(cut, func() { s.partition(1<<n.host, true) })
	s.at(cut+after("heal", 0, 2500), func() {
		delete(s.cut, link)
		s.partition(1<<n.host, false)
	})
	isolate := cut + after("isolate", 0, 2500)
	s.at(isolate, func() { s.partition(1<<isolated.host, true); isolated.storeCut = true })
	s.at(isolate+2*time.Second, func() { s.partition(1<<isolated.host, false); isolated.storeCut = false })
	s.at(cut+after("restart", 0, 2000), func() {
		s.crash(restarted, func(run func()) { s.at(50*time.Millisecond, run) })
	})
}

func (s *sim) split(side int, on bool) {
	s.partition(side, on)
	for i, n := range s.nodes {
		n.storeCut = on && side>>i&1 == 1
	}
}

// grow starts the hosts that have not run yet.
func (s *sim) grow() {
	for _, n := range s.nodes {
		if n.incarnation == 0 {
			s.boot(n)
		}
	}
}

func (s *sim) partition(side int, on bool) {
	for a := range s.nodes {
		for b := range s.nodes {
			if side>>a&1 != side>>b&1 {
				if on {
					s.cut[[2]int{a, b}] = true
				} else {
					delete(s.cut, [2]int{a, b})
				}
			}
		}
	}
}

func (s *sim) crash(n *simNode, undo func(func())) {
	if !n.alive {
		return
	}
	n.alive = false
	undo(func() {
		if !n.alive && n.listed {
			s.boot(n)
		}
	})
}

// session runs random faults and then a quiet period, and returns what went wrong.
func session(t *rapid.T, settings Settings, plant func(*Core, Key, time.Time) bool) *sim {
	nodes := rapid.IntRange(2, 7).Draw(t, "nodes")
	s := newSim(nodes, rapid.IntRange(0, nodes-1).Draw(t, "late"), rapid.Uint64().Draw(t, "seed"), settings)
	s.mayPlant = plant
	// A cell that has started is more telling than one that starts, but both are tried.
	if rapid.IntRange(0, 3).Draw(t, "started") > 0 {
		s.run(10 * time.Second)
	}
	begin := s.now
	for s.broken == "" && s.now < begin+faultTime {
		s.fault(t)
		s.run(s.now + time.Duration(rapid.IntRange(10, 4000).Draw(t, "gap"))*time.Millisecond)
	}
	s.grow()
	limit := recoverTime
	if lost := rapid.IntRange(0, nodes-1).Draw(t, "lost"); lost > 0 {
		limit = recoverLost
		for _, n := range s.nodes[:lost] {
			n.alive = false
			s.at(time.Second, func() { n.listed = false })
		}
	}
	s.run(s.now + 8*time.Second) // the longest fault ends
	s.run(s.now + limit)
	return s
}

func (s *sim) verify() error {
	if s.broken != "" {
		return fmt.Errorf("%s", s.broken)
	}
	if unowned := s.unowned(); len(unowned) > 0 {
		return fmt.Errorf("nobody dispatches to %v after the quiet period", unowned)
	}
	// While the store holds an invalid configuration, a cell that has restarted has none.
	for _, n := range s.nodes {
		if n.alive && s.config.Revision == s.lastValid && n.adopter.Revision() != s.lastValid {
			return fmt.Errorf("%s has revision %d, want %d", n.self.ID, n.adopter.Revision(), s.lastValid)
		}
	}
	return nil
}

// TestModel guards against two members dispatching to one server, against a server without an owner in a quiet
// period, and against a configuration revision that goes back.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := session(t, DefaultSettings(), nil)
		if err := s.verify(); err != nil {
			for _, line := range s.trace[max(0, len(s.trace)-80):] {
				t.Log(line)
			}
			t.Fatal(err)
		}
	})
}

// TestModelFindsPlants guards against a model that cannot see the faults that it is there for.
func TestModelFindsPlants(t *testing.T) {
	noWait := DefaultSettings()
	noWait.Wait = 0
	plants := []struct {
		name     string
		settings Settings
		may      func(*Core, Key, time.Time) bool
	}{
		{name: "no check before dispatch", settings: DefaultSettings(), may: func(c *Core, key Key, _ time.Time) bool {
			return c.view.Load().keys[key].may
		}},
		{name: "no takeover wait", settings: noWait},
	}
	for _, plant := range plants {
		t.Run(plant.name, func(t *testing.T) {
			const attempts = 200
			for i := range attempts {
				generate := rapid.Custom(func(t *rapid.T) *sim { return session(t, plant.settings, plant.may) })
				if s := generate.Example(i); s.broken != "" {
					t.Logf("found in session %d: %s", i, s.broken)
					return
				}
			}
			t.Errorf("got no violation in %d sessions, want one", attempts)
		})
	}
}

// BenchmarkMayDispatch measures the check before each dispatch.
func BenchmarkMayDispatch(b *testing.B) {
	s := newSim(3, 0, 1, DefaultSettings())
	s.run(10 * time.Second)
	core := s.nodes[0].core
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			core.MayDispatch("s0", time.Now())
		}
	})
}

// BenchmarkHeartbeat measures one heartbeat at its receiver, with 7 members.
func BenchmarkHeartbeat(b *testing.B) {
	s := newSim(7, 0, 1, DefaultSettings())
	s.run(10 * time.Second)
	n, from := s.nodes[0], s.nodes[1]
	beat := &broker.Heartbeat{Generation: n.membership.Generation, Revision: 1}
	for b.Loop() {
		n.core.Step(s.clock(n), Received{From: from.self.ID, Heartbeat: beat})
	}
}
