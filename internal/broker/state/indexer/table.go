package indexer

import (
	"time"

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

// Table indexes one configuration by name; it is immutable.
type Table struct {
	Revision broker.Revision
	Config   *configurator.Config

	services map[string]*Service
	servers  map[broker.ServerName]*configurator.Server
	kinds    map[string]*configurator.RequestKind
	zones    map[string]*configurator.Zone
	timeouts map[broker.ServerName]time.Duration
}

// New returns the table of config, which must be valid.
func New(revision broker.Revision, config *configurator.Config) *Table {
	t := &Table{
		Revision: revision,
		Config:   config,
		services: make(map[string]*Service, len(config.Services)),
		servers:  make(map[broker.ServerName]*configurator.Server, len(config.Servers)),
		kinds:    make(map[string]*configurator.RequestKind, len(config.RequestKinds)),
		zones:    make(map[string]*configurator.Zone, len(config.Zones)),
		timeouts: make(map[broker.ServerName]time.Duration, len(config.Servers)),
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
		t.addTimeouts(service)
	}
	return t
}

// addTimeouts raises the attempt timeout of each server of a service to the longest deadline of its request kinds.
func (t *Table) addTimeouts(service *Service) {
	var longest time.Duration
	for _, kind := range t.kinds {
		if kind.Service == service.Name {
			longest = max(longest, time.Duration(kind.Deadline))
		}
	}
	for i := range service.Shards {
		for _, server := range service.Shards[i].Servers {
			name := broker.ServerName(server.Name)
			t.timeouts[name] = max(t.timeouts[name], longest)
		}
	}
}

// AttemptTimeout returns the maximum time that a request may run on a server.
func (t *Table) AttemptTimeout(server broker.ServerName) time.Duration { return t.timeouts[server] }

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

// Service returns the named service, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Server returns the named backend server, or nil.
func (t *Table) Server(name broker.ServerName) *configurator.Server { return t.servers[name] }

// Kind returns the named request kind, or nil.
func (t *Table) Kind(name string) *configurator.RequestKind { return t.kinds[name] }

// KindCount returns the number of request kinds, of which those with equal names count once.
func (t *Table) KindCount() int { return len(t.kinds) }

// ZoneOut reports whether the availability zone is out of service or unknown.
func (t *Table) ZoneOut(name string) bool {
	zone := t.zones[name]
	return zone == nil || zone.State == configurator.ZoneOut
}

// ShardOfKey returns the shard that serves key, or nil if the service has no shards.
func (s *Service) ShardOfKey(key string) *Shard {
	if len(s.Shards) == 0 {
		return nil
	}
	return &s.Shards[xxhash.Sum64String(key)%uint64(len(s.Shards))]
}

// ServesNewWork reports whether the server may receive new work under this configuration.
func (t *Table) ServesNewWork(server *configurator.Server) bool {
	return server != nil && !server.Draining && !t.ZoneOut(server.Zone)
}
