package scatterer

import (
	"cmp"
	"slices"

	"github.com/yuccarock/yuccarock/internal/broker"
)

// merger keeps the best hits by score, then ID, then shard, so that the result does not depend on the order of answers.
type merger struct {
	limit int          // most hits to keep, zero for all
	hits  []broker.Hit // a heap with the worst hit first once it holds limit hits
}

// compareHits orders better hits first.
func compareHits(a, b *broker.Hit) int {
	if order := cmp.Compare(b.Score, a.Score); order != 0 {
		return order
	}
	if order := cmp.Compare(a.ID, b.ID); order != 0 {
		return order
	}
	return cmp.Compare(a.Shard, b.Shard)
}

func (m *merger) add(shard broker.ShardName, hits []broker.Hit) {
	for i := range hits {
		if m.limit > 0 && len(m.hits) == m.limit && hits[i].Score < m.hits[0].Score {
			continue // avoids a copy, as most hits of a query to many shards are dropped here
		}
		hit := hits[i]
		hit.Shard = shard
		switch {
		case m.limit <= 0 || len(m.hits) < m.limit-1:
			m.hits = append(m.hits, hit)
		case len(m.hits) < m.limit:
			m.hits = append(m.hits, hit)
			for i := m.limit/2 - 1; i >= 0; i-- {
				m.siftDown(i)
			}
		case compareHits(&hit, &m.hits[0]) < 0:
			m.hits[0] = hit
			m.siftDown(0)
		}
	}
}

// siftDown restores the heap order from position i downwards.
func (m *merger) siftDown(i int) {
	for {
		worst := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(m.hits); child++ {
			if compareHits(&m.hits[child], &m.hits[worst]) > 0 {
				worst = child
			}
		}
		if worst == i {
			return
		}
		m.hits[i], m.hits[worst] = m.hits[worst], m.hits[i]
		i = worst
	}
}

// result returns the hits in order, best first.
func (m *merger) result() []broker.Hit {
	slices.SortFunc(m.hits, func(a, b broker.Hit) int { return compareHits(&a, &b) })
	return m.hits
}

func (m *merger) reset() { m.hits = m.hits[:0] }
