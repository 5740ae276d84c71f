package configurator

import (
	"io"
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

// Builder collects the parts of a configuration and checks them when it is built.
type Builder struct {
	config Config
}

// New returns a builder of a configuration of that name.
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

// Services adds services with their shards.
func (b *Builder) Services(services ...*ServiceBuilder) *Builder {
	for _, service := range services {
		b.config.Services = append(b.config.Services, service.service)
	}
	return b
}

// RequestKinds adds kinds of request.
func (b *Builder) RequestKinds(kinds ...*RequestKindBuilder) *Builder {
	for _, kind := range kinds {
		b.config.RequestKinds = append(b.config.RequestKinds, kind.kind)
	}
	return b
}

// AllowAllZonesOut permits a configuration without an availability zone in service.
func (b *Builder) AllowAllZonesOut() *Builder {
	b.config.AllowAllZonesOut = true
	return b
}

// Build returns a copy of the configuration, or an error that carries every problem.
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

// Print writes the canonical JSON of the configuration, or nothing if it is invalid.
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

// ZoneBuilder describes an availability zone.
type ZoneBuilder struct {
	zone Zone
}

// NewZone returns an availability zone that is in service.
func NewZone(name, region string) *ZoneBuilder {
	return &ZoneBuilder{zone: Zone{Name: name, Region: region, State: ZoneIn}}
}

// Out takes the zone out of service.
func (z *ZoneBuilder) Out() *ZoneBuilder {
	z.zone.State = ZoneOut
	return z
}

// ServerBuilder describes a backend server.
type ServerBuilder struct {
	server Server
}

// NewServer returns a backend server with one slot, one connection and the most careful cold start.
func NewServer(name string, address netip.AddrPort, zone string) *ServerBuilder {
	return &ServerBuilder{server: Server{
		Name: name, Address: address, Zone: zone, Slots: 1, Connections: 1,
		Cold: ColdStart{Concurrency: 1, Successes: 100, Step: 1},
	}}
}

// Slots sets the most requests that the server runs at once.
func (s *ServerBuilder) Slots(slots int) *ServerBuilder {
	s.server.Slots = slots
	return s
}

// Connections sets the most connections that the server accepts and the time that opening one takes.
func (s *ServerBuilder) Connections(connections int, cost time.Duration) *ServerBuilder {
	s.server.Connections, s.server.ConnectionCost = connections, Duration(cost)
	return s
}

// Cold limits the server while it warms up: it starts with concurrency requests at once and carries step more
// after each successes answers.
func (s *ServerBuilder) Cold(concurrency, successes, step int) *ServerBuilder {
	s.server.Cold = ColdStart{Concurrency: concurrency, Successes: successes, Step: step}
	return s
}

// Draining keeps new work away from the server.
func (s *ServerBuilder) Draining() *ServerBuilder {
	s.server.Draining = true
	return s
}

// ServiceBuilder describes a service.
type ServiceBuilder struct {
	service Service
}

// NewService returns a service of partitioning 1 without shards.
func NewService(name string, routing Routing) *ServiceBuilder {
	return &ServiceBuilder{service: Service{Name: name, Routing: routing, Partitioning: 1}}
}

// Partitioning sets the number that each repartitioning raises.
func (s *ServiceBuilder) Partitioning(partitioning uint64) *ServiceBuilder {
	s.service.Partitioning = partitioning
	return s
}

// Shard adds a shard and the names of its replicas; keys are mapped to shards in the order of these calls.
func (s *ServiceBuilder) Shard(name string, servers ...string) *ServiceBuilder {
	s.service.Shards = append(s.service.Shards, Shard{Name: name, Servers: servers})
	return s
}

// RequestKindBuilder describes a kind of request.
type RequestKindBuilder struct {
	kind RequestKind
}

// NewRequestKind returns a kind of request that is not idempotent and is neither hedged nor tried on a canary.
func NewRequestKind(name, service string, deadline time.Duration) *RequestKindBuilder {
	return &RequestKindBuilder{kind: RequestKind{
		Name: name, Service: service, Deadline: Duration(deadline), MinCoverage: 1, Canary: CanaryNever,
	}}
}

// Idempotent allows the request to run more than once.
func (k *RequestKindBuilder) Idempotent() *RequestKindBuilder {
	k.kind.Idempotent = true
	return k
}

// MinCoverage sets the least share of shards that makes an answer sufficient.
func (k *RequestKindBuilder) MinCoverage(share float64) *RequestKindBuilder {
	k.kind.MinCoverage = share
	return k
}

// Hedge sends a second attempt after that quantile of the shard's latency, paid from a share of base load.
func (k *RequestKindBuilder) Hedge(quantile, budget float64) *RequestKindBuilder {
	k.kind.HedgeQuantile, k.kind.HedgeBudget = quantile, budget
	return k
}

// RetryBudget sets the share of base load that retries may add.
func (k *RequestKindBuilder) RetryBudget(budget float64) *RequestKindBuilder {
	k.kind.RetryBudget = budget
	return k
}

// Priority sets which requests are refused last in overload: those with the higher number.
func (k *RequestKindBuilder) Priority(priority int) *RequestKindBuilder {
	k.kind.Priority = priority
	return k
}

// Canary sets when the request is tried on one shard before the others.
func (k *RequestKindBuilder) Canary(canary Canary) *RequestKindBuilder {
	k.kind.Canary = canary
	return k
}
