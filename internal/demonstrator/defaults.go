package demonstrator

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/pkg/configurator"
)

// Names and sizes of the demonstrated system.
const (
	searchService = "inspector-search"
	searchKind    = "search"
	intakeService = "public-intake"
	intakeKind    = "report"
	crashMarker   = "crash-this-server"

	searchShards = 20
	intakeShards = 4
	replicas     = 2
	nodesPerZone = 2
	partitioning = 1

	slots          = 2
	connections    = 25
	connectionCost = 6 * time.Millisecond
	coldLimit      = 1
	coldSuccesses  = 8
	coldStep       = 1
	serviceTime    = 3 * time.Millisecond

	firstSnapshot  broker.Snapshot = 1
	secondSnapshot broker.Snapshot = 2

	// callers send callInterval apart, which is about a tenth of what the servers can do.
	callers      = 8
	callInterval = 40 * time.Millisecond
	queryLimit   = 10
	intakeEvery  = 4 // one query in this many is a report
)

var zones = []string{"a", "b", "c"}

// serverSpec is a backend server of the demonstrated system with the shard it holds.
type serverSpec struct {
	name  broker.ServerName
	zone  string
	shard broker.ShardName
}

// serverSpecs places the replicas of each shard in different availability zones.
func serverSpecs() []serverSpec {
	var specs []serverSpec
	add := func(service string, shards int) {
		for shard := range shards {
			for replica := range replicas {
				zone := zones[(shard+replica)%len(zones)]
				specs = append(specs, serverSpec{
					name:  broker.ServerName(fmt.Sprintf("%s-%02d-%s", service, shard, zone)),
					zone:  zone,
					shard: shardName(service, shard),
				})
			}
		}
	}
	add(searchService, searchShards)
	add(intakeService, intakeShards)
	return specs
}

func shardName(service string, shard int) broker.ShardName {
	return broker.ShardName(fmt.Sprintf("%s-%02d", service, shard))
}

// buildConfig describes the demonstrated system with the operators' library.
func buildConfig(address func(broker.ServerName) netip.AddrPort) (*configurator.Config, error) {
	builder := configurator.New("demo")
	for _, zone := range zones {
		builder.Zones(configurator.NewZone(zone, "west"))
	}
	byShard := make(map[broker.ShardName][]string)
	for _, spec := range serverSpecs() {
		builder.Servers(configurator.NewServer(string(spec.name), address(spec.name), spec.zone).
			Slots(slots).Connections(connections, connectionCost).Cold(coldLimit, coldSuccesses, coldStep))
		byShard[spec.shard] = append(byShard[spec.shard], string(spec.name))
	}
	search := configurator.NewService(searchService, configurator.RoutingScatter).Partitioning(partitioning)
	for shard := range searchShards {
		name := shardName(searchService, shard)
		search.Shard(string(name), byShard[name]...)
	}
	intake := configurator.NewService(intakeService, configurator.RoutingKey).Partitioning(partitioning)
	for shard := range intakeShards {
		name := shardName(intakeService, shard)
		intake.Shard(string(name), byShard[name]...)
	}
	return builder.Services(search, intake).RequestKinds(
		configurator.NewRequestKind(searchKind, searchService, 500*time.Millisecond).Idempotent().
			MinCoverage(0.9).Hedge(0.95, 0.05).RetryBudget(0.1).Priority(1).Canary(configurator.CanaryUnseen),
		configurator.NewRequestKind(intakeKind, intakeService, time.Second).RetryBudget(0.1).Priority(2),
	).Build()
}

// Config returns the demonstrated system with backend servers at consecutive ports from first.
func Config(first netip.AddrPort) (*configurator.Config, error) {
	addresses := make(map[broker.ServerName]netip.AddrPort)
	for i, spec := range serverSpecs() {
		addresses[spec.name] = netip.AddrPortFrom(first.Addr(), first.Port()+uint16(i))
	}
	return buildConfig(func(name broker.ServerName) netip.AddrPort { return addresses[name] })
}
