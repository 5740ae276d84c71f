package leaser

import (
	"flag"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
)

var update = flag.Bool("update", false, "write the golden files")

// ranks returns the nodes in the rank order for server s0.
func (s *sim) ranks() []*simNode {
	var nodes []*simNode
	for _, id := range s.nodes[0].core.keyStates[simKey(0)].rank {
		i := slices.IndexFunc(s.nodes, func(n *simNode) bool { return n.self.ID == id })
		nodes = append(nodes, s.nodes[i])
	}
	return nodes
}

func (s *sim) kill(nodes ...*simNode) {
	for _, n := range nodes {
		s.tracef("%s dies", n.self.ID)
		n.alive = false
	}
}

// TestSessions compares the trace of a cell with a golden file for each failure or stop, and guards against servers
// that stay without an owner for longer than docs/design.md states.
func TestSessions(t *testing.T) {
	const step = time.Second
	tests := []struct {
		name  string
		limit time.Duration // longest time without an owner for any server
		run   func(s *sim)
	}{
		{name: "owner dies", limit: 4400 * time.Millisecond, run: func(s *sim) {
			s.kill(s.ranks()[0])
			s.run(s.now + 10*step)
		}},
		// The others take over. The owner wakes without a valid lease and rejoins.
		{name: "paused owner wakes", limit: 4400 * time.Millisecond, run: func(s *sim) {
			owner := s.ranks()[0]
			s.tracef("%s pauses for 6s", owner.self.ID)
			owner.pausedUntil = s.now + 6*step
			s.run(s.now + 15*step)
		}},
		{name: "both first ranks lost", limit: 4400 * time.Millisecond, run: func(s *sim) {
			s.kill(s.ranks()[:2]...)
			s.run(s.now + 10*step)
		}},
		{name: "planned release", limit: 100 * time.Millisecond, run: func(s *sim) {
			owner := s.ranks()[0]
			s.tracef("%s leaves", owner.self.ID)
			s.step(owner, Leave{})
			owner.leaving, owner.nextWrite = true, s.now+step
			s.run(s.now + 5*step)
		}},
		// The restarted owner joins when the store is back.
		{name: "store down throughout", limit: 4400 * time.Millisecond, run: func(s *sim) {
			s.storeDown = true
			owner := s.ranks()[0]
			s.kill(owner)
			s.run(s.now + 10*step)
			s.boot(owner)
			s.tracef("%s starts", owner.self.ID)
			s.run(s.now + 10*step)
			s.tracef("store is back")
			s.storeDown = false
			s.run(s.now + 10*step)
		}},
		// Three of five hosts die and stay in the host list for 10 s. A live host is missing from the list throughout.
		{name: "host list wrong", limit: 43 * time.Second, run: func(s *sim) {
			ranks := s.ranks()
			ranks[3].listed = false
			s.tracef("host of %s is missing from the host list", ranks[3].self.ID)
			s.run(s.now + 40*step)
			s.kill(ranks[:3]...)
			s.run(s.now + 10*step)
			for _, n := range ranks[:3] {
				n.listed = false
			}
			s.tracef("dead hosts leave the host list")
			s.run(s.now + 45*step)
		}},
		// As when an availability zone is taken out: the member that takes over from the first leaver leaves as well.
		{name: "two ranks leave", limit: 200 * time.Millisecond, run: func(s *sim) {
			for _, n := range s.ranks()[:2] {
				s.tracef("%s leaves", n.self.ID)
				s.step(n, Leave{})
				n.leaving, n.nextWrite = true, s.now+step
				s.run(s.now + step/10)
			}
			s.run(s.now + 5*step)
		}},
		// The second planned stop comes before the takeover wait of the generation that the first one started is over.
		{name: "leave after a generation change", limit: 200 * time.Millisecond, run: func(s *sim) {
			ranks := s.ranks()
			for _, n := range []*simNode{ranks[4], ranks[0]} {
				s.tracef("%s leaves", n.self.ID)
				s.step(n, Leave{})
				n.leaving, n.nextWrite = true, s.now+step
				s.run(s.now + step*17/10)
			}
			s.run(s.now + 5*step)
		}},
	}
	for i, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSim(5, 0, uint64(i), DefaultSettings())
			s.run(10 * step)
			s.trace, s.gaps = nil, make(map[broker.ServerName]time.Duration)
			tt.run(s)
			if err := s.verify(); err != nil {
				t.Error(err)
			}
			longest := time.Duration(0)
			for _, gap := range s.gaps {
				longest = max(longest, gap)
			}
			if longest > tt.limit {
				t.Errorf("got %v without an owner, want at most %v", longest, tt.limit)
			}
			s.tracef("longest time without an owner: %.2f s", longest.Seconds())
			compareGolden(t, strings.ReplaceAll(tt.name, " ", "-"), strings.Join(s.trace, "\n")+"\n")
		})
	}
}

func compareGolden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name+".golden")
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("got trace\n%swant\n%s", got, want)
	}
}
