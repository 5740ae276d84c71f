package scatterer

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/budgeter"
	"github.com/yuccarock/yuccarock/internal/broker/state/indexer"
	"github.com/yuccarock/yuccarock/internal/broker/state/tracker"
	"github.com/yuccarock/yuccarock/pkg/configurator"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fixture is a service with warm replicas named s0a, s0b, and so on; node na owns all "a" replicas.
type fixture struct {
	tracker *tracker.Tracker
	budgets *budgeter.Budgeter
	states  map[broker.ServerName]broker.ServerState
}

func newFixture(shards, replicas int, kind configurator.RequestKind, routing configurator.Routing) *fixture {
	kind.Name, kind.Service = "search", "index"
	config := &configurator.Config{
		Zones:        []configurator.Zone{{Name: "z", State: configurator.ZoneIn}},
		Services:     []configurator.Service{{Name: "index", Routing: routing, Partitioning: 7}},
		RequestKinds: []configurator.RequestKind{kind},
	}
	f := &fixture{
		tracker: tracker.New(),
		budgets: budgeter.New(budgeter.DefaultBurst),
		states:  map[broker.ServerName]broker.ServerState{},
	}
	for i := range shards {
		shard := configurator.Shard{Name: fmt.Sprintf("s%d", i)}
		for j := range replicas {
			suffix := string(rune('a' + j))
			shard.Servers = append(shard.Servers, shard.Name+suffix)
			config.Servers = append(config.Servers, configurator.Server{Name: shard.Name + suffix, Zone: "z"})
			name := broker.ServerName(shard.Name + suffix)
			f.states[name] = broker.ServerState{
				Server: name, Phase: broker.PhaseWarm, Limit: 2, Snapshots: []broker.Snapshot{4, 5},
				Partitioning: 7, Owner: broker.NodeID("n" + suffix), Sequence: 1,
			}
		}
		config.Services[0].Shards = append(config.Services[0].Shards, shard)
	}
	f.tracker.Adopt(indexer.New(3, config))
	f.budgets.Adopt(config.RequestKinds)
	for _, state := range f.states {
		f.tracker.Apply(state)
	}
	return f
}

// announce changes the announced state of a server.
func (f *fixture) announce(name broker.ServerName, change func(state *broker.ServerState)) {
	state := f.states[name]
	change(&state)
	state.Sequence++
	f.states[name] = state
	f.tracker.Apply(state)
}

func (f *fixture) session(seed uint64, request Request, now time.Time) *Session {
	request.Query.Kind = "search"
	s, err := New(Dependencies{
		View:    f.tracker.View(),
		Budgets: f.budgets.Kind("search"),
		Random:  rand.New(rand.NewPCG(seed, 0)),
	}, request, now)
	if err != nil {
		panic(err)
	}
	return s
}

// outstanding returns the number of attempts that the tracker counts as outstanding.
func (f *fixture) outstanding() (total int64) {
	for name := range f.states {
		total += f.tracker.Server(name).Outstanding()
	}
	return total
}

// reply returns the complete answer to a sub-request.
func reply(sub *broker.SubRequest, hits ...broker.Hit) broker.SubAnswer {
	answer := NotSent(sub)
	answer.Outcome, answer.Reason, answer.Hits = broker.OutcomeAnswered, broker.ReasonNone, hits
	return answer
}
