// Command kvarner prints the configuration of Zupčanik Kovačević, for which tail latency matters most: a late search
// loses a quotation.
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
	quotationShards   = 20
	archiveShards     = 30
	calculatorServers = 10
	portalServers     = 4
)

func main() {
	if err := configuration().Print(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func configuration() *configurator.Builder {
	b := configurator.New("kvarner")
	for _, zone := range zones {
		b.Zones(configurator.NewZone(zone, "kvarner"))
	}
	b.Services(
		sharded(b, "quotation", quotationShards, 1),
		sharded(b, "archive", archiveShards, 2),
		replicated(b, "calculation", calculatorServers, 3),
		replicated(b, "portal", portalServers, 4),
	)
	return b.RequestKinds(requestKinds()...)
}

// requestKinds returns request kinds that favour tail latency: short deadlines, early hedges within the allowed 5% of
// extra load, and for searches an answer without a tenth of the shards rather than a late one.
func requestKinds() []*configurator.RequestKindBuilder {
	return []*configurator.RequestKindBuilder{
		configurator.NewRequestKind("quotationSearch", "quotation", 200*time.Millisecond).Idempotent().
			MinCoverage(0.9).Hedge(0.95, 0.05).RetryBudget(0.05).Priority(20).Canary(configurator.CanaryUnseen),
		configurator.NewRequestKind("drawingSearch", "archive", 400*time.Millisecond).Idempotent().
			MinCoverage(0.9).Hedge(0.95, 0.05).RetryBudget(0.05).Priority(10).Canary(configurator.CanaryUnseen),
		configurator.NewRequestKind("calculationView", "calculation", 200*time.Millisecond).Idempotent().
			MinCoverage(1).Hedge(0.95, 0.05).RetryBudget(0.05).Priority(10),
		configurator.NewRequestKind("portalView", "portal", 200*time.Millisecond).Idempotent().
			MinCoverage(1).Hedge(0.95, 0.05).RetryBudget(0.05).Priority(5),
		// Not idempotent: an order that runs twice is placed twice. The portal has one shard, hence one claim point, the
		// node that runs a request ID at most once.
		configurator.NewRequestKind("portalOrder", "portal", 2*time.Second).MinCoverage(1).RetryBudget(0.05).Priority(20),
	}
}

// sharded adds two servers for each shard, in different zones, so that no zone holds both replicas.
func sharded(b *configurator.Builder, name string, shards int, subnet byte) *configurator.ServiceBuilder {
	service := configurator.NewService(name, configurator.RoutingScatter)
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
			Slots(3).Connections(40, time.Millisecond).Cold(1, 200, 1))
		replicas = append(replicas, server)
	}
	return configurator.NewService(name, configurator.RoutingAny).Shard("all", replicas...)
}

// address returns 10.<zone>.<subnet>.<host>:9200.
func address(subnet byte, zone, host int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(zone + 101), subnet, byte(host + 10)}), 9200)
}
