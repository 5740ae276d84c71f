package configurator

import (
	"fmt"
	"net/netip"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"time"
)

// Limits of fields, the same as in schema.json.
const (
	maxSlots       = 10_000
	maxConnections = 100_000
	maxSuccesses   = 1_000_000
	maxPriority    = 1_000
)

// Limits of durations.
const (
	// MaxDeadline is the maximum deadline of a request kind; a graceful shutdown waits at least this long.
	MaxDeadline = 30 * time.Second
	// maxConnectionCost limits how far ahead of need connections may have to be opened.
	maxConnectionCost = 10 * time.Second
)

// namePattern excludes the slash, which separates names in node IDs and claim points.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// Validate returns an *Error with all problems of the configuration, or nil.
func Validate(config *Config) error {
	return validate(config).asError("validate")
}

func validate(config *Config) Problems {
	v := &validator{
		config:         config,
		zoneIndexes:    make(map[string]int, len(config.Zones)),
		serverIndexes:  make(map[string]int, len(config.Servers)),
		serviceIndexes: make(map[string]int, len(config.Services)),
	}
	v.checkName("$.name", config.Name)
	v.checkZones()
	v.checkServers()
	v.checkServices()
	v.checkRequestKinds()
	return v.problems
}

// validator checks one configuration and collects all problems.
type validator struct {
	config         *Config
	problems       Problems
	zoneIndexes    map[string]int // by name
	serverIndexes  map[string]int // by name
	serviceIndexes map[string]int // by name
}

func (v *validator) report(kind Kind, path, format string, args ...any) {
	v.problems = append(v.problems, Problem{Path: path, Kind: kind, Message: fmt.Sprintf(format, args...)})
}

func (v *validator) reportRule(path, format string, args ...any) {
	v.report(KindRule, path, format, args...)
}

func (v *validator) checkName(path, name string) {
	if !namePattern.MatchString(name) {
		v.report(KindStructure, path, "%q must be 1 to 64 letters, digits, dots, underscores or hyphens "+
			"and start with a letter or digit", truncate(name))
	}
}

func (v *validator) checkUniqueName(path, name string, indexes map[string]int, index int) {
	v.checkName(path, name)
	if first, ok := indexes[name]; ok {
		v.reportRule(path, "%q is already the name of element %d of this list", truncate(name), first)
		return
	}
	indexes[name] = index
}

func (v *validator) checkRange(path string, value, lowest, highest int) {
	if value < lowest || value > highest {
		v.report(KindStructure, path, "%d must be from %d to %d", value, lowest, highest)
	}
}

func (v *validator) checkShare(path string, value float64) {
	if !(value >= 0 && value <= 1) {
		v.report(KindStructure, path, "%v must be from 0 to 1", value)
	}
}

func (v *validator) checkEnum(path string, value any) {
	allowed := enumerations[reflect.TypeOf(value)]
	if text := fmt.Sprint(value); !slices.Contains(allowed, text) {
		v.report(KindStructure, path, "%q must be one of %s", truncate(text), strings.Join(allowed, ", "))
	}
}

func (v *validator) checkZones() {
	inService := 0
	for i, zone := range v.config.Zones {
		path := fmt.Sprintf("$.zones[%d]", i)
		v.checkUniqueName(path+".name", zone.Name, v.zoneIndexes, i)
		v.checkName(path+".region", zone.Region)
		v.checkEnum(path+".state", zone.State)
		if zone.State == ZoneIn {
			inService++
		}
	}
	if inService == 0 && !v.config.AllowAllZonesOut {
		v.reportRule("$.zones", "no availability zone is in service; set allowAllZonesOut if this is intended")
	}
}

func (v *validator) checkServers() {
	addresses := make(map[netip.AddrPort]string, len(v.config.Servers))
	for i := range v.config.Servers {
		server := &v.config.Servers[i]
		path := fmt.Sprintf("$.servers[%d]", i)
		v.checkUniqueName(path+".name", server.Name, v.serverIndexes, i)
		v.checkAddress(path+".address", server, addresses)
		if _, ok := v.zoneIndexes[server.Zone]; !ok {
			v.reportRule(path+".zone", "server %q is in zone %q, which does not exist", server.Name, truncate(server.Zone))
		}
		v.checkRange(path+".slots", server.Slots, 1, maxSlots)
		v.checkRange(path+".connections", server.Connections, 1, maxConnections)
		if server.Connections < server.Slots {
			v.reportRule(path+".connections", "server %q has %d connections, fewer than its %d slots",
				server.Name, server.Connections, server.Slots)
		}
		if cost := time.Duration(server.ConnectionCost); cost < 0 || cost > maxConnectionCost {
			v.reportRule(path+".connectionCost", "%v must be from 0s to %v", cost, maxConnectionCost)
		}
		v.checkCold(path+".cold", server)
	}
}

func (v *validator) checkAddress(path string, server *Server, addresses map[netip.AddrPort]string) {
	address := server.Address
	ip := address.Addr()
	if !address.IsValid() || address.Port() == 0 || ip.IsUnspecified() || ip.IsMulticast() || ip.Zone() != "" {
		v.reportRule(path, "%v is not a valid address and port of a server", address)
		return
	}
	address = netip.AddrPortFrom(ip.Unmap(), address.Port())
	if other, ok := addresses[address]; ok {
		v.reportRule(path, "%v is already the address of server %q", address, other)
		return
	}
	addresses[address] = server.Name
}

func (v *validator) checkCold(path string, server *Server) {
	cold := server.Cold
	v.checkRange(path+".concurrency", cold.Concurrency, 1, maxSlots)
	v.checkRange(path+".successes", cold.Successes, 1, maxSuccesses)
	v.checkRange(path+".step", cold.Step, 1, maxSlots)
	if server.Slots < 1 {
		return // the checks below would only report consequences of the invalid slots
	}
	if cold.Concurrency > server.Slots {
		v.reportRule(path+".concurrency", "server %q would run %d requests while cold but has %d slots",
			server.Name, cold.Concurrency, server.Slots)
	}
	if cold.Step > server.Slots {
		v.reportRule(path+".step", "a step of %d exceeds the %d slots of server %q", cold.Step, server.Slots, server.Name)
	}
}

func (v *validator) checkServices() {
	for i := range v.config.Services {
		service := &v.config.Services[i]
		path := fmt.Sprintf("$.services[%d]", i)
		v.checkUniqueName(path+".name", service.Name, v.serviceIndexes, i)
		v.checkEnum(path+".routing", service.Routing)
		if service.Partitioning > maxInteger {
			v.report(KindStructure, path+".partitioning", "%d must be at most %d", service.Partitioning, maxInteger)
		}
		if len(service.Shards) == 0 {
			v.report(KindStructure, path+".shards", "service %q has no shard", service.Name)
		}
		shards := make(map[string]int, len(service.Shards))
		for j := range service.Shards {
			shardPath := fmt.Sprintf("%s.shards[%d]", path, j)
			v.checkUniqueName(shardPath+".name", service.Shards[j].Name, shards, j)
			v.checkReplicas(shardPath+".servers", &service.Shards[j])
		}
	}
}

func (v *validator) checkReplicas(path string, shard *Shard) {
	if len(shard.Servers) == 0 {
		v.report(KindStructure, path, "shard %q has no server", shard.Name)
	}
	seen := make(map[string]bool, len(shard.Servers))
	for i, name := range shard.Servers {
		serverPath := fmt.Sprintf("%s[%d]", path, i)
		if _, ok := v.serverIndexes[name]; !ok {
			v.reportRule(serverPath, "shard %q names server %q, which does not exist", shard.Name, truncate(name))
		}
		if seen[name] {
			v.reportRule(serverPath, "shard %q names server %q more than once", shard.Name, truncate(name))
		}
		seen[name] = true
	}
}

func (v *validator) checkRequestKinds() {
	kinds := make(map[string]int, len(v.config.RequestKinds))
	for i := range v.config.RequestKinds {
		kind := &v.config.RequestKinds[i]
		path := fmt.Sprintf("$.requestKinds[%d]", i)
		v.checkUniqueName(path+".name", kind.Name, kinds, i)
		if deadline := time.Duration(kind.Deadline); deadline <= 0 || deadline > MaxDeadline {
			v.reportRule(path+".deadline", "%v must be above 0s and at most %v", deadline, MaxDeadline)
		}
		v.checkShare(path+".minCoverage", kind.MinCoverage)
		v.checkShare(path+".hedgeBudget", kind.HedgeBudget)
		v.checkShare(path+".retryBudget", kind.RetryBudget)
		if !(kind.HedgeQuantile >= 0 && kind.HedgeQuantile < 1) {
			v.report(KindStructure, path+".hedgeQuantile", "%v must be from 0 to below 1", kind.HedgeQuantile)
		}
		v.checkRange(path+".priority", kind.Priority, -maxPriority, maxPriority)
		v.checkEnum(path+".canary", kind.Canary)
		v.checkRequestKindRules(path, kind)
	}
}

// checkRequestKindRules checks that the fields of a request kind are consistent with each other and with its service.
func (v *validator) checkRequestKindRules(path string, kind *RequestKind) {
	if (kind.HedgeQuantile > 0) != (kind.HedgeBudget > 0) {
		v.reportRule(path+".hedgeBudget", "hedgeQuantile %v and hedgeBudget %v must both be zero or both be set",
			kind.HedgeQuantile, kind.HedgeBudget)
	}
	index, ok := v.serviceIndexes[kind.Service]
	if !ok {
		v.reportRule(path+".service", "request kind %q names service %q, which does not exist",
			kind.Name, truncate(kind.Service))
	}
	if kind.Idempotent {
		return
	}
	if kind.HedgeQuantile > 0 || kind.HedgeBudget > 0 {
		v.reportRule(path+".hedgeQuantile", "request kind %q is not idempotent and may not be hedged", kind.Name)
	}
	if !ok {
		return
	}
	service := &v.config.Services[index]
	if service.Routing == RoutingScatter {
		v.reportRule(path+".idempotent", "request kind %q is not idempotent and may not use service %q, "+
			"which scatters requests to all shards", kind.Name, service.Name)
	}
	// A repeated request must reach the same claim point; with several shards, only routing by key ensures that.
	if service.Routing == RoutingAny && len(service.Shards) > 1 {
		v.reportRule(path+".idempotent", "request kind %q is not idempotent and may not use service %q, "+
			"whose requests go to any of %d shards", kind.Name, service.Name, len(service.Shards))
	}
}
