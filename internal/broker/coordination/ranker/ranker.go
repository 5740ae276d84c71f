package ranker

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccarock/yuccarock/internal/broker"
)

type candidate struct {
	member   *broker.Member
	sameZone bool
	score    uint64
}

// Rank returns the IDs of members in their order of precedence for key. Members in zone come first; an empty zone gives
// no preference. The order of two members does not depend on the other members.
func Rank(members []broker.Member, key, zone string) []broker.NodeID {
	candidates := make([]candidate, len(members))
	for i := range members {
		candidates[i] = newCandidate(&members[i], key, zone)
	}
	slices.SortFunc(candidates, compare)
	ids := make([]broker.NodeID, len(candidates))
	for i := range candidates {
		ids[i] = candidates[i].member.ID
	}
	return ids
}

// Owner returns the first member in the order of Rank that is not excluded, or an empty ID.
func Owner(members []broker.Member, key, zone string, excluded func(broker.NodeID) bool) broker.NodeID {
	var best candidate
	for i := range members {
		if excluded != nil && excluded(members[i].ID) {
			continue
		}
		next := newCandidate(&members[i], key, zone)
		if best.member == nil || compare(next, best) < 0 {
			best = next
		}
	}
	if best.member == nil {
		return ""
	}
	return best.member.ID
}

// Cell returns the cell that key belongs to, by rendezvous hashing over the names of cells.
func Cell(cells []string, key string) string {
	best, bestScore := "", uint64(0)
	for _, cell := range cells {
		if s := score(key, cell); best == "" || s > bestScore || s == bestScore && cell < best {
			best, bestScore = cell, s
		}
	}
	return best
}

// newCandidate hashes the node name without its incarnation, so that a restarted node owns the same keys again.
func newCandidate(member *broker.Member, key, zone string) candidate {
	name, _, _ := strings.Cut(string(member.ID), "/")
	return candidate{member: member, sameZone: zone != "" && member.Zone == zone, score: score(key, name)}
}

func score(key, name string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(name)
	return digest.Sum64()
}

func compare(a, b candidate) int {
	if a.sameZone != b.sameZone {
		if a.sameZone {
			return -1
		}
		return 1
	}
	if a.score != b.score {
		return cmp.Compare(b.score, a.score)
	}
	return cmp.Compare(a.member.ID, b.member.ID)
}
