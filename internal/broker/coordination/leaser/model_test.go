package leaser

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/yuccarock/yuccarock/internal/broker"
)

const (
	faultDuration = 25 * time.Second
	// recoveryLimit bounds the recovery without a lost majority: links, detection, rejoin, lease and takeover wait.
	recoveryLimit = 15 * time.Second
	// recoveryLimitLostMajority adds the confirmation of lost hosts by the host list.
	recoveryLimitLostMajority = recoveryLimit + 35*time.Second
)

// applyFault injects one random fault and schedules its end.
func (s *sim) applyFault(t *rapid.T) {
	n := s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(t, "node")]
	length := time.Duration(rapid.IntRange(50, 7000).Draw(t, "milliseconds")) * time.Millisecond
	undo := func(run func()) { s.schedule(length, run) }
	kind := rapid.SampledFrom([]string{
		"pause", "pause", "crash", "leave", "partition", "oneWay", "loss", "delay", "storeDown", "storeSlow",
		"lostReply", "config", "stale", "restartAll", "storeCut", "accuse", "split", "mute",
	}).Draw(t, "kind")
	s.tracef("fault %s at n%d for %v", kind, n.host, length)
	switch kind {
	case "pause":
		n.pausedUntil = max(n.pausedUntil, s.now+length)
	case "crash":
		s.crash(n, undo)
	case "leave":
		n.leaving = true
		s.runOn(n, 0, func() { s.step(n, Leave{}) })
		undo(func() { s.crash(n, func(run func()) { s.schedule(time.Second/10, run) }) })
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
		s.submitConfig(rapid.Bool().Draw(t, "valid"))
	case "stale":
		object := s.config
		s.runOn(n, length, func() { s.offerConfig(n, object) })
	case "storeCut":
		n.storeCut = true
		undo(func() { n.storeCut = false })
	case "split":
		// One side also loses the store, while the other side starts the late hosts.
		side := rapid.IntRange(1, 1<<len(s.nodes)-2).Draw(t, "side")
		s.split(side, true)
		s.schedule(length/4, s.startLateHosts)
		undo(func() { s.split(side, false) })
	case "mute":
		// The host can send nothing, and messages to it are delayed.
		s.hostDelay[n.host] = length / 2
		for to := range s.nodes {
			s.cut[[2]int{n.host, to}] = true
		}
		undo(func() {
			delete(s.hostDelay, n.host)
			s.partition(1<<n.host, false)
		})
	case "accuse":
		s.excludeWrongly(t, n)
	case "restartAll":
		for _, each := range s.nodes {
			s.crash(each, undo)
		}
	}
}

// excludeWrongly makes one member exclude another that still has grants, and then changes the generation while the
// excluded member, its successor and the others have different information.
func (s *sim) excludeWrongly(t *rapid.T, n *simNode) {
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
	s.schedule(cut, func() { s.partition(1<<n.host, true) })
	s.schedule(cut+after("heal", 0, 2500), func() {
		delete(s.cut, link)
		s.partition(1<<n.host, false)
	})
	isolate := cut + after("isolate", 0, 2500)
	s.schedule(isolate, func() { s.partition(1<<isolated.host, true); isolated.storeCut = true })
	s.schedule(isolate+2*time.Second, func() { s.partition(1<<isolated.host, false); isolated.storeCut = false })
	s.schedule(cut+after("restart", 0, 2000), func() {
		s.crash(restarted, func(run func()) { s.schedule(50*time.Millisecond, run) })
	})
}

func (s *sim) split(side int, on bool) {
	s.partition(side, on)
	for i, n := range s.nodes {
		n.storeCut = on && side>>i&1 == 1
	}
}

// startLateHosts starts the hosts that have not started yet.
func (s *sim) startLateHosts() {
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

// runSession runs random faults and then a quiet period, and returns the cell, which verify checks.
func runSession(t *rapid.T, settings Settings, mayOverride func(*Core, Key, time.Time) bool) *sim {
	nodes := rapid.IntRange(2, 7).Draw(t, "nodes")
	s := newSim(nodes, rapid.IntRange(0, nodes-1).Draw(t, "late"), rapid.Uint64().Draw(t, "seed"), settings)
	s.mayOverride = mayOverride
	// Faults in a running cell find more than faults during its start, so most sessions let it start first.
	if rapid.IntRange(0, 3).Draw(t, "started") > 0 {
		s.run(10 * time.Second)
	}
	begin := s.now
	for s.violation == "" && s.now < begin+faultDuration {
		s.applyFault(t)
		s.run(s.now + time.Duration(rapid.IntRange(10, 4000).Draw(t, "gap"))*time.Millisecond)
	}
	s.startLateHosts()
	limit := recoveryLimit
	if lost := rapid.IntRange(0, nodes-1).Draw(t, "lost"); lost > 0 {
		limit = recoveryLimitLostMajority
		for _, n := range s.nodes[:lost] {
			n.alive = false
			s.schedule(time.Second, func() { n.listed = false })
		}
	}
	s.run(s.now + 8*time.Second) // the longest fault ends
	s.run(s.now + limit)
	return s
}

func (s *sim) verify() error {
	if s.violation != "" {
		return fmt.Errorf("%s", s.violation)
	}
	if unowned := s.unowned(); len(unowned) > 0 {
		return fmt.Errorf("nobody dispatches to %v after the quiet period", unowned)
	}
	// A restarted cell has no configuration while the store holds an invalid one, so the check needs a valid one.
	for _, n := range s.nodes {
		if n.alive && s.config.Revision == s.lastValid && n.adopter.Revision() != s.lastValid {
			return fmt.Errorf("%s has revision %d, want %d", n.self.ID, n.adopter.Revision(), s.lastValid)
		}
	}
	return nil
}

// TestModel runs random faults and guards against two members that may dispatch to one server, a server without an
// owner after the quiet period, and a configuration revision that goes back.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := runSession(t, DefaultSettings(), nil)
		if err := s.verify(); err != nil {
			for _, line := range s.trace[max(0, len(s.trace)-80):] {
				t.Log(line)
			}
			t.Fatal(err)
		}
	})
}

// TestModelDetectsInjectedFaults guards against a model that misses the violations that it must detect.
func TestModelDetectsInjectedFaults(t *testing.T) {
	noWait := DefaultSettings()
	noWait.TakeoverWait = 0
	injections := []struct {
		name     string
		settings Settings
		may      func(*Core, Key, time.Time) bool
	}{
		{name: "no check before dispatch", settings: DefaultSettings(), may: func(c *Core, key Key, _ time.Time) bool {
			return c.view.Load().keys[key].active
		}},
		{name: "no takeover wait", settings: noWait},
	}
	for _, injection := range injections {
		t.Run(injection.name, func(t *testing.T) {
			const attempts = 200
			for i := range attempts {
				generate := rapid.Custom(func(t *rapid.T) *sim { return runSession(t, injection.settings, injection.may) })
				if s := generate.Example(i); s.violation != "" {
					t.Logf("found in session %d: %s", i, s.violation)
					return
				}
			}
			t.Errorf("got no violation in %d sessions, want one", attempts)
		})
	}
}

// BenchmarkMayDispatch measures the lease check that precedes each dispatch.
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

// BenchmarkHeartbeat measures the handling of one received heartbeat in a cell of 7 members.
func BenchmarkHeartbeat(b *testing.B) {
	s := newSim(7, 0, 1, DefaultSettings())
	s.run(10 * time.Second)
	n, from := s.nodes[0], s.nodes[1]
	heartbeat := &broker.Heartbeat{Generation: n.membership.Generation, Revision: 1}
	for b.Loop() {
		n.core.Step(s.clock(n), MessageReceived{From: from.self.ID, Heartbeat: heartbeat})
	}
}
