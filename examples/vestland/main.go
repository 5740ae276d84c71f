// Command vestland prints the configuration of Ryddig Fjord Stiftelse, for which coverage matters most: a missed
// report leaves a dump in a river.
package main

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/yuccarock/yuccarock/pkg/configurator"
)

var zones = []string{"a", "b", "c"}

// Numbers of shards and servers.
const (
	searchShards  = 20
	intakeShards  = 30
	viewerServers = 5
	exportServers = 3
)

func main() {
	if err := configuration().Print(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func configuration() *configurator.Builder {
	b := configurator.New("vestland")
	for _, zone := range zones {
		b.Zones(configurator.NewZone(zone, "vestland"))
	}
	b.Services(
		sharded(b, "search", configurator.RoutingScatter, searchShards, 1),
		// Intake is routed by key so that a report sent again reaches the same claim point, the node that runs a
		// request ID at most once.
		sharded(b, "intake", configurator.RoutingKey, intakeShards, 2),
		replicated(b, "viewer", viewerServers, 3),
		replicated(b, "export", exportServers, 4),
	)
	return b.RequestKinds(requestKinds()...)
}

// requestKinds returns request kinds that favour coverage: inspectors get no answer without all shards, deadlines leave
// time for a second attempt after a timeout, and retries may add a fifth to the load. No deadline is longer than 10 s,
// because after an unplanned change of its owner a server receives no requests for as long as the longest deadline.
func requestKinds() []*configurator.RequestKindBuilder {
	return []*configurator.RequestKindBuilder{
		configurator.NewRequestKind("inspectorSearch", "search", 2*time.Second).Idempotent().MinCoverage(1).
			Hedge(0.95, 0.05).RetryBudget(0.2).Priority(10).Canary(configurator.CanaryUnseen),
		configurator.NewRequestKind("volunteerSearch", "search", 2*time.Second).Idempotent().MinCoverage(0.95).
			Hedge(0.98, 0.02).RetryBudget(0.1).Priority(5).Canary(configurator.CanaryUnseen),
		// Not idempotent: a report that runs twice sends two crews.
		configurator.NewRequestKind("report", "intake", 5*time.Second).MinCoverage(1).RetryBudget(0.2).Priority(20),
		configurator.NewRequestKind("caseView", "viewer", 2*time.Second).Idempotent().MinCoverage(1).
			Hedge(0.98, 0.05).RetryBudget(0.2).Priority(10),
		configurator.NewRequestKind("mapExport", "export", 10*time.Second).Idempotent().MinCoverage(1).
			RetryBudget(0.1).Priority(0),
	}
}

// sharded adds two servers for each shard, in different zones, so that no zone holds both replicas.
func sharded(b *configurator.Builder, name string, routing configurator.Routing, shards int,
	subnet byte) *configurator.ServiceBuilder {
	service := configurator.NewService(name, routing)
	for shard := range shards {
		var replicas []string
		for replica := range 2 {
			zone := (shard + replica) % len(zones)
			server := fmt.Sprintf("%s-%02d-%s", name, shard, zones[zone])
			b.Servers(configurator.NewServer(server, address(subnet, zone, shard), zones[zone]).
				Slots(2).Connections(25, 6*time.Millisecond).Cold(1, 500, 1))
			replicas = append(replicas, server)
		}
		service.Shard(fmt.Sprintf("%02d", shard), replicas...)
	}
	return service
}

// replicated adds servers that all hold the service's only shard, spread over the zones.
func replicated(b *configurator.Builder, name string, servers int, subnet byte) *configurator.ServiceBuilder {
	var replicas []string
	for i := range servers {
		zone := i % len(zones)
		server := fmt.Sprintf("%s-%d-%s", name, i, zones[zone])
		b.Servers(configurator.NewServer(server, address(subnet, zone, i), zones[zone]).
			Slots(4).Connections(100, time.Millisecond).Cold(1, 200, 1))
		replicas = append(replicas, server)
	}
	return configurator.NewService(name, configurator.RoutingAny).Shard("all", replicas...)
}

// address returns 10.<zone>.<subnet>.<host>:9200.
func address(subnet byte, zone, host int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(zone + 1), subnet, byte(host + 10)}), 9200)
}
