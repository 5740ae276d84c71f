package ranker

import (
	"fmt"
	"slices"
	"testing"

	"github.com/yuccarock/yuccarock/internal/broker"
)

func members(count int) []broker.Member {
	list := make([]broker.Member, count)
	for i := range list {
		list[i] = broker.Member{ID: broker.NodeID(fmt.Sprintf("n%d/1", i)), Zone: fmt.Sprintf("z%d", i%3)}
	}
	return list
}

// TestRank guards against an owner in another zone, an order that changes with unrelated members, an uneven
// distribution of keys, and an Owner that disagrees with Rank.
func TestRank(t *testing.T) {
	const keys = 3000
	all := members(7)
	without := slices.Delete(slices.Clone(all), 4, 5)
	restarted := slices.Clone(all)
	restarted[2].ID = "n2/9"
	owned := make(map[broker.NodeID]int)
	for i := range keys {
		key := fmt.Sprintf("server-%d", i)
		rank := Rank(all, key, "z1")
		if zone := all[slices.IndexFunc(all, func(m broker.Member) bool { return m.ID == rank[1] })].Zone; zone != "z1" {
			t.Fatalf("got second member in zone %s for %s, want z1", zone, key)
		}
		want := slices.DeleteFunc(slices.Clone(rank), func(id broker.NodeID) bool { return id == "n4/1" })
		if got := Rank(without, key, "z1"); !slices.Equal(got, want) {
			t.Fatalf("got %v without n4, want %v", got, want)
		}
		if got, want := slices.Index(Rank(restarted, key, "z1"), "n2/9"), slices.Index(rank, "n2/1"); got != want {
			t.Fatalf("got rank %d for a restarted node, want %d", got, want)
		}
		isFirst := func(id broker.NodeID) bool { return id == rank[0] }
		if got := Owner(all, key, "z1", isFirst); got != rank[1] {
			t.Fatalf("got owner %s with the first member excluded, want %s", got, rank[1])
		}
		owned[Owner(all, key, "", nil)]++
	}
	for id, got := range owned {
		if want := keys / len(all); got < want*3/4 || got > want*5/4 {
			t.Errorf("got %d of %d keys at %s, want about %d", got, keys, id, want)
		}
	}
}

// TestCell guards against keys that move between existing cells when another cell is added.
func TestCell(t *testing.T) {
	for i := range 1000 {
		key := fmt.Sprintf("server-%d", i)
		before, after := Cell([]string{"a", "b"}, key), Cell([]string{"c", "b", "a"}, key)
		if after != before && after != "c" {
			t.Fatalf("got cell %s for %s with c added, want %s or c", after, key, before)
		}
	}
	if got := Cell([]string{"a", "b"}, "server-1"); got != "a" && got != "b" {
		t.Errorf("got cell %q, want one of the two", got)
	}
}

func BenchmarkSlopeRank(b *testing.B) {
	for _, count := range []int{3, 7, 20, 50, 200, 690} {
		b.Run(fmt.Sprintf("members=%d", count), func(b *testing.B) {
			all := members(count)
			for b.Loop() {
				Rank(all, "server-1", "z1")
			}
		})
	}
}
