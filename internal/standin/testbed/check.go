package testbed

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/pkg/errors"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/standin/backendserver"
	"github.com/yuccarock/yuccarock/pkg/caller"
)

// ConfigAdopted returns a condition for WaitUntil: every node has adopted the revision or a later one.
func (s *System) ConfigAdopted(revision broker.Revision) func() bool {
	return func() bool {
		return !slices.ContainsFunc(s.Nodes(), func(n *Node) bool { return n.Server.Status().Revision < revision })
	}
}

// AllShardsAvailable returns whether every node has a usable replica of every shard.
func (s *System) AllShardsAvailable() bool {
	for _, n := range s.Nodes() {
		coverage := n.Server.Status().Coverage
		if len(coverage) == 0 || slices.ContainsFunc(coverage, func(c broker.ServiceCoverage) bool {
			return c.ShardsAvailable < c.ShardsTotal
		}) {
			return false
		}
	}
	return true
}

// AllServersWarm returns whether every node reports all of its known servers as warm.
func (s *System) AllServersWarm() bool {
	for _, n := range s.Nodes() {
		for _, state := range n.Server.Status().Servers {
			if state.Phase != broker.PhaseWarm {
				return false
			}
		}
	}
	return true
}

// Crashes returns the number of crashes of all backend servers.
func (s *System) Crashes() int {
	total := 0
	for _, backend := range s.Backends {
		total += backend.Record().Crashes
	}
	return total
}

// Executions returns how often backend servers started to run the request, over all servers.
func (s *System) Executions(requestID string) int {
	total := 0
	for _, backend := range s.Backends {
		total += backend.Executions(requestID)
	}
	return total
}

// CheckLimits checks that no backend server ever exceeded its slots, its cold limit or its connection limit.
func (s *System) CheckLimits() error {
	for _, spec := range s.Specs {
		record := s.Backends[spec.Name].Record()
		limits := []struct {
			quantity  string
			got, want int
		}{
			{"concurrent requests", record.MaxConcurrency, slots},
			{"concurrent requests while cold", record.MaxColdConcurrency, coldConcurrency},
			{"connections", record.MaxConnections, connections},
		}
		for _, limit := range limits {
			if limit.got > limit.want {
				return &Error{
					Op: "enforce the limits of " + string(spec.Name), Kind: KindViolation,
					Err: errors.Errorf("%s: got %d, want at most %d", limit.quantity, limit.got, limit.want),
				}
			}
		}
	}
	return nil
}

// CheckSearch compares the hits of a search with those computed for the answer's snapshot without its missing shards.
func (s *System) CheckSearch(query *caller.Query, answer *caller.Answer) error {
	fail := func(format string, args ...any) error {
		return &Error{Op: "verify the answer to " + query.RequestID, Kind: KindViolation, Err: errors.Errorf(format, args...)}
	}
	if answer.RequestID != query.RequestID {
		return fail("got the answer to request %s", answer.RequestID)
	}
	if answer.Status != caller.StatusComplete && answer.Status != caller.StatusPartial {
		return nil
	}
	missing := make(map[broker.ShardName]bool)
	for _, shard := range answer.Coverage.Missing {
		missing[broker.ShardName(shard.Shard)] = true
	}
	if got, want := answer.Coverage.ShardsAnswered+len(missing), s.Settings.SearchShards; got != want {
		return fail("answered and missing shards: got %d, want %d", got, want)
	}
	var want []broker.Hit
	for shard := range s.Settings.SearchShards {
		if name := ShardName(SearchService, shard); !missing[name] {
			want = append(want, backendserver.Hits(broker.Snapshot(answer.Snapshot), name, query.Body, query.Limit)...)
		}
	}
	slices.SortFunc(want, func(a, b broker.Hit) int {
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.ID, b.ID))
	})
	want = want[:min(len(want), query.Limit)]
	if len(answer.Hits) != len(want) {
		return fail("hits: got %d, want %d", len(answer.Hits), len(want))
	}
	for i := range want {
		if answer.Hits[i].ID != want[i].ID || answer.Hits[i].Score != want[i].Score {
			return fail("hit %d: got %s, want %s", i, answer.Hits[i].ID, want[i].ID)
		}
	}
	return nil
}

// Body returns a JSON request body that is unique to the number.
func Body(number uint64) json.RawMessage {
	data, err := json.Marshal(struct {
		Text   string `json:"text"`
		Number uint64 `json:"number"`
	}{Text: "tyres by the river", Number: number})
	if err != nil {
		panic(err) // cannot fail for a string and a number
	}
	return data
}
