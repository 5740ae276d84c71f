package testbed

import (
	"fmt"
	"log/slog"
	"net/netip"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/standin/backendserver"
	"github.com/yuccarock/yuccarock/internal/tracer"
	"github.com/yuccarock/yuccarock/pkg/configurator"
)

// Names in the configuration: a search that is scattered to all shards and a non-idempotent report routed by key.
const (
	SearchService = "inspector-search"
	SearchKind    = "search"
	IntakeService = "public-intake"
	IntakeKind    = "report"
	// CrashMarker in the body of a request crashes each backend server that runs it.
	CrashMarker = "crash-this-server"
	// QueryLimit is the number of hits that a search requests.
	QueryLimit = 10
)

const (
	replicas        = 2
	partitioning    = 1
	slots           = 2
	connections     = 25
	connectionCost  = 6 * time.Millisecond
	coldConcurrency = 1
	coldStep        = 1
	firstSnapshot   = broker.Snapshot(1)
)

// Settings are the sizes and times of a system.
type Settings struct {
	Zones         []string
	NodesPerZone  int
	SearchShards  int
	IntakeShards  int
	ColdSuccesses int // answers per step of the ramp, and until a cold stand-in is warm
	StartCold     bool
	ServiceTime   time.Duration
	// StragglerShare is the share of requests that take 20 times as long.
	StragglerShare float64
	MinCoverage    float64
	Canary         configurator.Canary
	Logger         *slog.Logger
	// Tracer returns the tracer of a node; nil disables tracing.
	Tracer func(node string) *tracer.Tracer
}

// ServerSpec is a backend server with its zone and its shard.
type ServerSpec struct {
	Name  broker.ServerName
	Zone  string
	Shard broker.ShardName
}

// Specs returns the backend servers: two replicas of each shard in different availability zones.
func (s *Settings) Specs() []ServerSpec {
	var specs []ServerSpec
	add := func(service string, shards int) {
		for shard := range shards {
			for replica := range replicas {
				zone := s.Zones[(shard+replica)%len(s.Zones)]
				specs = append(specs, ServerSpec{
					Name:  broker.ServerName(fmt.Sprintf("%s-%02d-%s", service, shard, zone)),
					Zone:  zone,
					Shard: ShardName(service, shard),
				})
			}
		}
	}
	add(SearchService, s.SearchShards)
	add(IntakeService, s.IntakeShards)
	return specs
}

// ShardName returns the name of a shard of a service.
func ShardName(service string, shard int) broker.ShardName {
	return broker.ShardName(fmt.Sprintf("%s-%02d", service, shard))
}

func (s *Settings) backendFaults() backendserver.Faults {
	return backendserver.Faults{
		Slots: slots, Connections: connections,
		ServiceTime: configurator.Duration(s.ServiceTime), Jitter: 0.5,
		StragglerShare: s.StragglerShare, StragglerFactor: 20,
		StartCold: s.StartCold, ColdConcurrency: coldConcurrency, WarmAfter: s.ColdSuccesses,
		CrashMarker: CrashMarker, Snapshots: []broker.Snapshot{firstSnapshot}, Partitioning: partitioning,
	}
}

// Config returns the configuration of the system, built with the operators' library.
func (s *Settings) Config(address func(broker.ServerName) netip.AddrPort) (*configurator.Config, error) {
	builder := configurator.New("demo")
	for _, zone := range s.Zones {
		builder.Zones(configurator.NewZone(zone, "west"))
	}
	byShard := make(map[broker.ShardName][]string)
	for _, spec := range s.Specs() {
		builder.Servers(configurator.NewServer(string(spec.Name), address(spec.Name), spec.Zone).
			Slots(slots).Connections(connections, connectionCost).Cold(coldConcurrency, s.ColdSuccesses, coldStep))
		byShard[spec.Shard] = append(byShard[spec.Shard], string(spec.Name))
	}
	search := configurator.NewService(SearchService, configurator.RoutingScatter).Partitioning(partitioning)
	for shard := range s.SearchShards {
		name := ShardName(SearchService, shard)
		search.Shard(string(name), byShard[name]...)
	}
	intake := configurator.NewService(IntakeService, configurator.RoutingKey).Partitioning(partitioning)
	for shard := range s.IntakeShards {
		name := ShardName(IntakeService, shard)
		intake.Shard(string(name), byShard[name]...)
	}
	return builder.Services(search, intake).RequestKinds(
		configurator.NewRequestKind(SearchKind, SearchService, 500*time.Millisecond).Idempotent().
			MinCoverage(s.MinCoverage).Hedge(0.95, 0.05).RetryBudget(0.1).Priority(1).Canary(s.Canary),
		configurator.NewRequestKind(IntakeKind, IntakeService, time.Second).RetryBudget(0.1).Priority(2),
	).Build()
}
