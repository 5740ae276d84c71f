package indexer

import (
	"github.com/cespare/xxhash/v2"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/pkg/configurator"
)

// Shard is a shard with its replicas resolved.
type Shard struct {
	Name    broker.ShardName
	Servers []*configurator.Server
}

// Service is a service with its shards resolved.
type Service struct {
	Name         string
	Routing      configurator.Routing
	Partitioning uint64
	Shards       []Shard
}

// Table is one configuration in force, with lookups by name; it never changes.
type Table struct {
	Revision broker.Revision
	Config   *configurator.Config

	services map[string]*Service
	servers  map[broker.ServerName]*configurator.Server
	kinds    map[string]*configurator.RequestKind
	zones    map[string]*configurator.Zone
}

// New returns the table of a valid configuration.
func New(revision broker.Revision, config *configurator.Config) *Table {
	t := &Table{
		Revision: revision,
		Config:   config,
		services: make(map[string]*Service, len(config.Services)),
		servers:  make(map[broker.ServerName]*configurator.Server, len(config.Servers)),
		kinds:    make(map[string]*configurator.RequestKind, len(config.RequestKinds)),
		zones:    make(map[string]*configurator.Zone, len(config.Zones)),
	}
	for i := range config.Servers {
		t.servers[broker.ServerName(config.Servers[i].Name)] = &config.Servers[i]
	}
	for i := range config.RequestKinds {
		t.kinds[config.RequestKinds[i].Name] = &config.RequestKinds[i]
	}
	for i := range config.Zones {
		t.zones[config.Zones[i].Name] = &config.Zones[i]
	}
	for i := range config.Services {
		service := t.resolve(&config.Services[i])
		t.services[service.Name] = service
	}
	return t
}

func (t *Table) resolve(service *configurator.Service) *Service {
	resolved := &Service{
		Name:         service.Name,
		Routing:      service.Routing,
		Partitioning: service.Partitioning,
		Shards:       make([]Shard, 0, len(service.Shards)),
	}
	for _, shard := range service.Shards {
		replicas := make([]*configurator.Server, 0, len(shard.Servers))
		for _, name := range shard.Servers {
			if server, ok := t.servers[broker.ServerName(name)]; ok {
				replicas = append(replicas, server)
			}
		}
		resolved.Shards = append(resolved.Shards, Shard{Name: broker.ShardName(shard.Name), Servers: replicas})
	}
	return resolved
}

// Service returns the service of that name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Server returns the backend server of that name, or nil.
func (t *Table) Server(name broker.ServerName) *configurator.Server { return t.servers[name] }

// Kind returns the request kind of that name, or nil.
func (t *Table) Kind(name string) *configurator.RequestKind { return t.kinds[name] }

// ZoneOut returns whether the availability zone is out of service or unknown.
func (t *Table) ZoneOut(name string) bool {
	zone := t.zones[name]
	return zone == nil || zone.State == configurator.ZoneOut
}

// ShardOfKey returns the shard of a service that serves key.
func (s *Service) ShardOfKey(key string) *Shard {
	if len(s.Shards) == 0 {
		return nil
	}
	return &s.Shards[xxhash.Sum64String(key)%uint64(len(s.Shards))]
}

// ServesNewWork returns whether a server may receive new work under this configuration.
func (t *Table) ServesNewWork(server *configurator.Server) bool {
	return server != nil && !server.Draining && !t.ZoneOut(server.Zone)
}
