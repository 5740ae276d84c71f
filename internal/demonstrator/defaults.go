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

	// callers send callInterval apart, which is about a tenth of what the servers can do.
	callers      = 8
	callInterval = 40 * time.Millisecond
	reportEvery  = 4 // one query in this many is a report
)

func defaultSettings() testbed.Settings {
	return testbed.Settings{
		Zones: []string{"a", "b", "c"}, NodesPerZone: 2, SearchShards: 20, IntakeShards: 4, ColdSuccesses: 8,
		StartCold: true, ServiceTime: 3 * time.Millisecond, StragglerShare: 0.01, MinCoverage: 0.9,
		Canary: configurator.CanaryUnseen,
	}
}

// Config returns the demonstrated system with backend servers at consecutive ports from first.
func Config(first netip.AddrPort) (*configurator.Config, error) {
	settings := defaultSettings()
	addresses := make(map[broker.ServerName]netip.AddrPort)
	for i, spec := range settings.Specs() {
		addresses[spec.Name] = netip.AddrPortFrom(first.Addr(), first.Port()+uint16(i))
	}
	return settings.Config(func(name broker.ServerName) netip.AddrPort { return addresses[name] })
}
