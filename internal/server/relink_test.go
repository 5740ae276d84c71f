package server

import (
	"testing"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
)

// TestRelinking guards against an entry that runs queries with a new incarnation before its links are up, refuses them
// for a link that flaps, or refuses them for ever after a node is lost.
func TestRelinking(t *testing.T) {
	start := time.Now()
	l := newLiveness()
	check := func(step string, after time.Duration, want bool) {
		t.Helper()
		if got := l.relinking(start.Add(after)); got != want {
			t.Errorf("%s: relinking: got %t, want %t", step, got, want)
		}
	}
	setLinked := func(linked bool, nodes ...broker.NodeID) {
		for _, node := range nodes {
			l.setLinked(node, linked)
		}
	}
	setLinked(true, "a", "c")
	check("first incarnation", 0, false)
	l.awaitLinks(start.Add(relinkTimeout))
	setLinked(false, "a", "c")
	check("links closed", 0, true)
	setLinked(true, "a")
	check("one of two links", 0, true)
	l.awaitLinks(start.Add(relinkTimeout))
	setLinked(true, "c")
	setLinked(false, "c")
	check("next incarnation, a link that went down again", 0, true)
	setLinked(true, "c")
	check("both links", 0, false)
	setLinked(false, "c")
	check("a node lost meanwhile", relinkTimeout+time.Millisecond, false)
	check("the wait is over", 0, false)
}
