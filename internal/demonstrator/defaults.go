package demonstrator

import (
	"net/netip"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/standin/testbed"
	"github.com/yuccarock/yuccarock/pkg/configurator"
)

const (
	firstSnapshot  broker.Snapshot = 1
	secondSnapshot broker.Snapshot = 2

	// Each of the callers sends a query every callInterval; together they use about a tenth of the capacity of the servers.
	callers        = 8
	callInterval   = 40 * time.Millisecond
	reportInterval = 4 // number of queries per report
)

func defaultSettings() testbed.Settings {
	return testbed.Settings{
		Zones: []string{"a", "b", "c"}, NodesPerZone: 2, SearchShards: 20, IntakeShards: 4, ColdSuccesses: 8,
		StartCold: true, ServiceTime: 3 * time.Millisecond, StragglerShare: 0.01, MinCoverage: 0.9,
		Canary: configurator.CanaryUnseen,
	}
}

// Config returns the configuration of the demonstrated system, with its backend servers at consecutive ports from first.
func Config(first netip.AddrPort) (*configurator.Config, error) {
	settings := defaultSettings()
	addresses := make(map[broker.ServerName]netip.AddrPort)
	for i, spec := range settings.Specs() {
		addresses[spec.Name] = netip.AddrPortFrom(first.Addr(), first.Port()+uint16(i))
	}
	return settings.Config(func(name broker.ServerName) netip.AddrPort { return addresses[name] })
}
