package demonstrator

import (
	"cmp"
	"encoding/json"
	"slices"
	"sync"

	"github.com/pkg/errors"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/standin/backendserver"
	"github.com/yuccarock/yuccarock/pkg/caller"
)

// checker compares answers with what the stand-ins must have returned.
type checker struct {
	mu         sync.Mutex
	violations []error
}

func (c *checker) violation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, errors.Errorf(format, args...))
}

func (c *checker) first() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.violations) == 0 {
		return nil
	}
	return &Error{
		Op: "find every answer true", Kind: KindViolation,
		Err: errors.Wrapf(c.violations[0], "%d violations, the first", len(c.violations)),
	}
}

// checkSearch recomputes the merged hits from the stated snapshot and the stated missing shards.
func (c *checker) checkSearch(query *caller.Query, answer *caller.Answer) {
	if answer.RequestID != query.RequestID {
		c.violation("answer to request %s came for request %s", answer.RequestID, query.RequestID)
		return
	}
	if answer.Status != caller.StatusComplete && answer.Status != caller.StatusPartial {
		return
	}
	missing := make(map[broker.ShardName]bool)
	for _, shard := range answer.Coverage.Missing {
		missing[broker.ShardName(shard.Shard)] = true
	}
	if got, want := answer.Coverage.ShardsAnswered+len(missing), searchShards; got != want {
		c.violation("answered and missing shards: got %d, want %d", got, want)
	}
	var want []broker.Hit
	for shard := range searchShards {
		name := shardName(searchService, shard)
		if !missing[name] {
			want = append(want, backendserver.Hits(broker.Snapshot(answer.Snapshot), name, query.Body, query.Limit)...)
		}
	}
	slices.SortFunc(want, func(a, b broker.Hit) int {
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.ID, b.ID))
	})
	want = want[:min(len(want), query.Limit)]
	if len(answer.Hits) != len(want) {
		c.violation("hits of request %s: got %d, want %d", query.RequestID, len(answer.Hits), len(want))
		return
	}
	for i := range want {
		if answer.Hits[i].ID != want[i].ID || answer.Hits[i].Score != want[i].Score {
			c.violation("hit %d of request %s: got %s, want %s", i, query.RequestID, answer.Hits[i].ID, want[i].ID)
			return
		}
	}
}

// body returns a search body that differs for each number.
func body(number uint64) json.RawMessage {
	data, err := json.Marshal(struct {
		Text   string `json:"text"`
		Number uint64 `json:"number"`
	}{Text: "tyres by the river", Number: number})
	if err != nil {
		panic(err) // a struct of a string and a number always encodes
	}
	return data
}
