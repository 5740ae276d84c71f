package configurator

import (
	"slices"

	"github.com/pkg/errors"
)

// SetZone sets the state of an availability zone and reports whether the configuration changed.
func SetZone(config *Config, zone string, state ZoneState) (bool, error) {
	index := slices.IndexFunc(config.Zones, func(z Zone) bool { return z.Name == zone })
	if index < 0 {
		return false, &Error{Op: "set zone in", Kind: KindUnknownName,
			Err: errors.Errorf("there is no zone %q", zone)}
	}
	if config.Zones[index].State == state {
		return false, nil
	}
	config.Zones[index].State = state
	return true, nil
}

// SetDraining sets whether a backend server is draining and reports whether the configuration changed.
func SetDraining(config *Config, server string, draining bool) (bool, error) {
	index := slices.IndexFunc(config.Servers, func(s Server) bool { return s.Name == server })
	if index < 0 {
		return false, &Error{Op: "set draining in", Kind: KindUnknownName,
			Err: errors.Errorf("there is no server %q", server)}
	}
	if config.Servers[index].Draining == draining {
		return false, nil
	}
	config.Servers[index].Draining = draining
	return true, nil
}

// SingleZone returns, as "service/shard", the shards whose servers are all in one availability zone and which are
// therefore lost with that zone; it returns nil if the configuration has fewer than two zones.
func SingleZone(config *Config) []string {
	if len(config.Zones) < 2 {
		return nil
	}
	zones := make(map[string]string, len(config.Servers))
	for i := range config.Servers {
		zones[config.Servers[i].Name] = config.Servers[i].Zone
	}
	var shards []string
	for _, service := range config.Services {
		for _, shard := range service.Shards {
			first := zones[shard.Servers[0]]
			if !slices.ContainsFunc(shard.Servers, func(name string) bool { return zones[name] != first }) {
				shards = append(shards, service.Name+"/"+shard.Name)
			}
		}
	}
	return shards
}

// Unserved returns, as "service/shard", the shards that cannot receive new work because all their servers are draining
// or in a zone that is out of service.
func Unserved(config *Config) []string {
	zones := make(map[string]ZoneState, len(config.Zones))
	for _, zone := range config.Zones {
		zones[zone.Name] = zone.State
	}
	serving := make(map[string]bool, len(config.Servers))
	for i := range config.Servers {
		server := &config.Servers[i]
		serving[server.Name] = !server.Draining && zones[server.Zone] == ZoneIn
	}
	var unserved []string
	for _, service := range config.Services {
		for _, shard := range service.Shards {
			if !slices.ContainsFunc(shard.Servers, func(name string) bool { return serving[name] }) {
				unserved = append(unserved, service.Name+"/"+shard.Name)
			}
		}
	}
	return unserved
}
