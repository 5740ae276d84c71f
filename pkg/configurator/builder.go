package configurator

import (
	"io"
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

// Builder assembles a configuration, which Build validates.
type Builder struct {
	config Config
}

// New returns a builder of an empty configuration with the name.
func New(name string) *Builder {
	return &Builder{config: Config{Name: name}}
}

// Zones adds availability zones.
func (b *Builder) Zones(zones ...*ZoneBuilder) *Builder {
	for _, zone := range zones {
		b.config.Zones = append(b.config.Zones, zone.zone)
	}
	return b
}

// Servers adds backend servers.
func (b *Builder) Servers(servers ...*ServerBuilder) *Builder {
	for _, server := range servers {
		b.config.Servers = append(b.config.Servers, server.server)
	}
	return b
}

// Services adds services and their shards.
func (b *Builder) Services(services ...*ServiceBuilder) *Builder {
	for _, service := range services {
		b.config.Services = append(b.config.Services, service.service)
	}
	return b
}

// RequestKinds adds request kinds.
func (b *Builder) RequestKinds(kinds ...*RequestKindBuilder) *Builder {
	for _, kind := range kinds {
		b.config.RequestKinds = append(b.config.RequestKinds, kind.kind)
	}
	return b
}

// AllowAllZonesOut permits a configuration in which every availability zone is out of service.
func (b *Builder) AllowAllZonesOut() *Builder {
	b.config.AllowAllZonesOut = true
	return b
}

// Build validates the configuration and returns a copy of it, or an *Error with all problems found.
func (b *Builder) Build() (*Config, error) {
	if err := Validate(&b.config); err != nil {
		return nil, err
	}
	data, err := Canonical(&b.config)
	if err != nil {
		return nil, err
	}
	return Parse(data)
}

// Print writes the canonical JSON of the configuration to out; it writes nothing if the configuration is invalid.
func (b *Builder) Print(out io.Writer) error {
	config, err := b.Build()
	if err != nil {
		return err
	}
	data, err := Canonical(config)
	if err != nil {
		return err
	}
	_, err = out.Write(data)
	return errors.Wrap(err, "could not print configuration")
}

// ZoneBuilder builds an availability zone.
type ZoneBuilder struct {
	zone Zone
}

// NewZone returns an availability zone that is in service.
func NewZone(name, region string) *ZoneBuilder {
	return &ZoneBuilder{zone: Zone{Name: name, Region: region, State: ZoneIn}}
}

// Out sets the zone's state to out of service.
func (z *ZoneBuilder) Out() *ZoneBuilder {
	z.zone.State = ZoneOut
	return z
}

// ServerBuilder builds a backend server.
type ServerBuilder struct {
	server Server
}

// NewServer returns a backend server with one slot, one connection and a cold start that begins with one concurrent
// request and adds one after every 100 answers.
func NewServer(name string, address netip.AddrPort, zone string) *ServerBuilder {
	return &ServerBuilder{server: Server{
		Name: name, Address: address, Zone: zone, Slots: 1, Connections: 1,
		Cold: ColdStart{Concurrency: 1, Successes: 100, Step: 1},
	}}
}

// Slots sets the maximum number of requests that the server runs concurrently.
func (s *ServerBuilder) Slots(slots int) *ServerBuilder {
	s.server.Slots = slots
	return s
}

// Connections sets the maximum number of connections to the server and the time that opening one takes.
func (s *ServerBuilder) Connections(connections int, cost time.Duration) *ServerBuilder {
	s.server.Connections, s.server.ConnectionCost = connections, Duration(cost)
	return s
}

// Cold limits the server's concurrent requests while it warms up: to concurrency at first, and to step more each time
// that it has answered another successes requests.
func (s *ServerBuilder) Cold(concurrency, successes, step int) *ServerBuilder {
	s.server.Cold = ColdStart{Concurrency: concurrency, Successes: successes, Step: step}
	return s
}

// Draining marks the server as draining, so that it receives no new work.
func (s *ServerBuilder) Draining() *ServerBuilder {
	s.server.Draining = true
	return s
}

// ServiceBuilder builds a service.
type ServiceBuilder struct {
	service Service
}

// NewService returns a service without shards, with partitioning 1.
func NewService(name string, routing Routing) *ServiceBuilder {
	return &ServiceBuilder{service: Service{Name: name, Routing: routing, Partitioning: 1}}
}

// Partitioning sets the partitioning number, which each repartitioning of the service must raise.
func (s *ServiceBuilder) Partitioning(partitioning uint64) *ServiceBuilder {
	s.service.Partitioning = partitioning
	return s
}

// Shard adds a shard and the names of the servers that hold its replicas; the order of the calls determines which
// shard a key maps to.
func (s *ServiceBuilder) Shard(name string, servers ...string) *ServiceBuilder {
	s.service.Shards = append(s.service.Shards, Shard{Name: name, Servers: servers})
	return s
}

// RequestKindBuilder builds a request kind.
type RequestKindBuilder struct {
	kind RequestKind
}

// NewRequestKind returns a request kind that is not idempotent, requires the answers of all shards and has no hedges,
// no canary and a retry budget of zero.
func NewRequestKind(name, service string, deadline time.Duration) *RequestKindBuilder {
	return &RequestKindBuilder{kind: RequestKind{
		Name: name, Service: service, Deadline: Duration(deadline), MinCoverage: 1, Canary: CanaryNever,
	}}
}

// Idempotent declares that a request may run more than once.
func (k *RequestKindBuilder) Idempotent() *RequestKindBuilder {
	k.kind.Idempotent = true
	return k
}

// MinCoverage sets the minimum share of shards, from 0 to 1, that must answer.
func (k *RequestKindBuilder) MinCoverage(share float64) *RequestKindBuilder {
	k.kind.MinCoverage = share
	return k
}

// Hedge enables a second attempt at a shard after the given quantile of the shard's latency; budget limits hedges to a
// share of base load.
func (k *RequestKindBuilder) Hedge(quantile, budget float64) *RequestKindBuilder {
	k.kind.HedgeQuantile, k.kind.HedgeBudget = quantile, budget
	return k
}

// RetryBudget limits retries to a share of base load.
func (k *RequestKindBuilder) RetryBudget(budget float64) *RequestKindBuilder {
	k.kind.RetryBudget = budget
	return k
}

// Priority sets the priority under overload; requests with a higher number are refused later.
func (k *RequestKindBuilder) Priority(priority int) *RequestKindBuilder {
	k.kind.Priority = priority
	return k
}

// Canary sets when a request is sent to one shard before the others.
func (k *RequestKindBuilder) Canary(canary Canary) *RequestKindBuilder {
	k.kind.Canary = canary
	return k
}
