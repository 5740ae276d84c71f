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

// Limits of single fields, as stated in schema.json.
const (
	maxSlots       = 10_000
	maxConnections = 100_000
	maxSuccesses   = 1_000_000
	maxPriority    = 1_000
)

// Limits of durations.
const (
	// MaxDeadline is the longest deadline of a request kind; a graceful shutdown waits at least this long.
	MaxDeadline = 30 * time.Second
	// maxConnectionCost bounds the time in which a connection can be opened ahead of need.
	maxConnectionCost = 10 * time.Second
)

// nameForm excludes the slash because node IDs and claim points join names with it.
var nameForm = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// Validate returns an error that carries every problem of the configuration, or nil.
func Validate(config *Config) error {
	return validate(config).asError("validate")
}

func validate(config *Config) Problems {
	v := &validator{
		config:   config,
		zones:    make(map[string]int, len(config.Zones)),
		servers:  make(map[string]int, len(config.Servers)),
		services: make(map[string]int, len(config.Services)),
	}
	v.name("$.name", config.Name)
	v.checkZones()
	v.checkServers()
	v.checkServices()
	v.checkRequestKinds()
	return v.problems
}

// validator checks one configuration and collects every problem.
type validator struct {
	config   *Config
	problems Problems
	zones    map[string]int
	servers  map[string]int
	services map[string]int
}

func (v *validator) report(kind Kind, path, format string, args ...any) {
	v.problems = append(v.problems, Problem{Path: path, Kind: kind, Message: fmt.Sprintf(format, args...)})
}

func (v *validator) rule(path, format string, args ...any) { v.report(KindRule, path, format, args...) }

func (v *validator) name(path, name string) {
	if !nameForm.MatchString(name) {
		v.report(KindStructure, path, "%q must be 1 to 64 letters, digits, dots, underscores or hyphens "+
			"and start with a letter or digit", shorten(name))
	}
}

func (v *validator) unique(path, name string, seen map[string]int, index int) {
	v.name(path, name)
	if first, ok := seen[name]; ok {
		v.rule(path, "%q is already the name of number %d of this list", shorten(name), first)
		return
	}
	seen[name] = index
}

func (v *validator) between(path string, value, least, most int) {
	if value < least || value > most {
		v.report(KindStructure, path, "%d must be from %d to %d", value, least, most)
	}
}

func (v *validator) share(path string, value float64) {
	if !(value >= 0 && value <= 1) {
		v.report(KindStructure, path, "%v must be from 0 to 1", value)
	}
}

func (v *validator) enumerated(path string, value any) {
	allowed := enumerations[reflect.TypeOf(value)]
	if text := fmt.Sprint(value); !slices.Contains(allowed, text) {
		v.report(KindStructure, path, "%q must be one of %s", shorten(text), strings.Join(allowed, ", "))
	}
}

func (v *validator) checkZones() {
	in := 0
	for i, zone := range v.config.Zones {
		path := fmt.Sprintf("$.zones[%d]", i)
		v.unique(path+".name", zone.Name, v.zones, i)
		v.name(path+".region", zone.Region)
		v.enumerated(path+".state", zone.State)
		if zone.State == ZoneIn {
			in++
		}
	}
	if in == 0 && !v.config.AllowAllZonesOut {
		v.rule("$.zones", "no availability zone is in service; set allowAllZonesOut if this is intended")
	}
}

func (v *validator) checkServers() {
	addresses := make(map[netip.AddrPort]string, len(v.config.Servers))
	for i := range v.config.Servers {
		server := &v.config.Servers[i]
		path := fmt.Sprintf("$.servers[%d]", i)
		v.unique(path+".name", server.Name, v.servers, i)
		v.checkAddress(path+".address", server, addresses)
		if _, ok := v.zones[server.Zone]; !ok {
			v.rule(path+".zone", "server %q is in zone %q, which does not exist", server.Name, shorten(server.Zone))
		}
		v.between(path+".slots", server.Slots, 1, maxSlots)
		v.between(path+".connections", server.Connections, 1, maxConnections)
		if server.Connections < server.Slots {
			v.rule(path+".connections", "server %q has %d connections, fewer than its %d slots",
				server.Name, server.Connections, server.Slots)
		}
		if cost := time.Duration(server.ConnectionCost); cost < 0 || cost > maxConnectionCost {
			v.rule(path+".connectionCost", "%v must be from 0s to %v", cost, maxConnectionCost)
		}
		v.checkCold(path+".cold", server)
	}
}

func (v *validator) checkAddress(path string, server *Server, addresses map[netip.AddrPort]string) {
	address := server.Address
	ip := address.Addr()
	if !address.IsValid() || address.Port() == 0 || ip.IsUnspecified() || ip.IsMulticast() || ip.Zone() != "" {
		v.rule(path, "%v is not the address and port of a server", address)
		return
	}
	address = netip.AddrPortFrom(ip.Unmap(), address.Port())
	if other, ok := addresses[address]; ok {
		v.rule(path, "%v is already the address of server %q", address, other)
		return
	}
	addresses[address] = server.Name
}

func (v *validator) checkCold(path string, server *Server) {
	cold := server.Cold
	v.between(path+".concurrency", cold.Concurrency, 1, maxSlots)
	v.between(path+".successes", cold.Successes, 1, maxSuccesses)
	v.between(path+".step", cold.Step, 1, maxSlots)
	if server.Slots < 1 {
		return // the limits below would only state the consequence
	}
	if cold.Concurrency > server.Slots {
		v.rule(path+".concurrency", "server %q would run %d requests while cold but has %d slots",
			server.Name, cold.Concurrency, server.Slots)
	}
	if cold.Step > server.Slots {
		v.rule(path+".step", "a step of %d exceeds the %d slots of server %q", cold.Step, server.Slots, server.Name)
	}
}

func (v *validator) checkServices() {
	for i := range v.config.Services {
		service := &v.config.Services[i]
		path := fmt.Sprintf("$.services[%d]", i)
		v.unique(path+".name", service.Name, v.services, i)
		v.enumerated(path+".routing", service.Routing)
		if service.Partitioning > maxInteger {
			v.report(KindStructure, path+".partitioning", "%d must be at most %d", service.Partitioning, maxInteger)
		}
		if len(service.Shards) == 0 {
			v.report(KindStructure, path+".shards", "service %q has no shard", service.Name)
		}
		shards := make(map[string]int, len(service.Shards))
		for j := range service.Shards {
			shardPath := fmt.Sprintf("%s.shards[%d]", path, j)
			v.unique(shardPath+".name", service.Shards[j].Name, shards, j)
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
		if _, ok := v.servers[name]; !ok {
			v.rule(serverPath, "shard %q names server %q, which does not exist", shard.Name, shorten(name))
		}
		if seen[name] {
			v.rule(serverPath, "shard %q names server %q more than once", shard.Name, shorten(name))
		}
		seen[name] = true
	}
}

func (v *validator) checkRequestKinds() {
	kinds := make(map[string]int, len(v.config.RequestKinds))
	for i := range v.config.RequestKinds {
		kind := &v.config.RequestKinds[i]
		path := fmt.Sprintf("$.requestKinds[%d]", i)
		v.unique(path+".name", kind.Name, kinds, i)
		if deadline := time.Duration(kind.Deadline); deadline <= 0 || deadline > MaxDeadline {
			v.rule(path+".deadline", "%v must be above 0s and at most %v", deadline, MaxDeadline)
		}
		v.share(path+".minCoverage", kind.MinCoverage)
		v.share(path+".hedgeBudget", kind.HedgeBudget)
		v.share(path+".retryBudget", kind.RetryBudget)
		if !(kind.HedgeQuantile >= 0 && kind.HedgeQuantile < 1) {
			v.report(KindStructure, path+".hedgeQuantile", "%v must be from 0 to below 1", kind.HedgeQuantile)
		}
		v.between(path+".priority", kind.Priority, -maxPriority, maxPriority)
		v.enumerated(path+".canary", kind.Canary)
		v.checkTreatment(path, kind)
	}
}

// checkTreatment checks the fields of a request kind against each other and against its service.
func (v *validator) checkTreatment(path string, kind *RequestKind) {
	if (kind.HedgeQuantile > 0) != (kind.HedgeBudget > 0) {
		v.rule(path+".hedgeBudget", "hedgeQuantile %v and hedgeBudget %v must both be zero or both be set",
			kind.HedgeQuantile, kind.HedgeBudget)
	}
	at, ok := v.services[kind.Service]
	if !ok {
		v.rule(path+".service", "request kind %q is of service %q, which does not exist",
			kind.Name, shorten(kind.Service))
	}
	if kind.Idempotent {
		return
	}
	if kind.HedgeQuantile > 0 || kind.HedgeBudget > 0 {
		v.rule(path+".hedgeQuantile", "request kind %q is not idempotent and may not be hedged", kind.Name)
	}
	if !ok {
		return
	}
	service := &v.config.Services[at]
	if service.Routing == RoutingScatter {
		v.rule(path+".idempotent", "request kind %q is not idempotent and may not use service %q, "+
			"which scatters requests to all shards", kind.Name, service.Name)
	}
	// A repeated request must reach the same claim point, and with several shards only a key ensures that.
	if service.Routing == RoutingAny && len(service.Shards) > 1 {
		v.rule(path+".idempotent", "request kind %q is not idempotent and may not use service %q, "+
			"whose requests go to any of %d shards", kind.Name, service.Name, len(service.Shards))
	}
}
