package configurator

import (
	"slices"

	"github.com/pkg/errors"
)

// SetZone sets the state of an availability zone and returns whether that changed the configuration.
func SetZone(config *Config, zone string, state ZoneState) (bool, error) {
	at := slices.IndexFunc(config.Zones, func(z Zone) bool { return z.Name == zone })
	if at < 0 {
		return false, &Error{Op: "set zone in", Kind: KindUnknownName,
			Err: errors.Errorf("there is no zone %q", zone)}
	}
	if config.Zones[at].State == state {
		return false, nil
	}
	config.Zones[at].State = state
	return true, nil
}

// SetDraining marks a backend server as draining or not and returns whether that changed the configuration.
func SetDraining(config *Config, server string, draining bool) (bool, error) {
	at := slices.IndexFunc(config.Servers, func(s Server) bool { return s.Name == server })
	if at < 0 {
		return false, &Error{Op: "set draining in", Kind: KindUnknownName,
			Err: errors.Errorf("there is no server %q", server)}
	}
	if config.Servers[at].Draining == draining {
		return false, nil
	}
	config.Servers[at].Draining = draining
	return true, nil
}

// SingleZone returns, as "service/shard", every shard whose servers are all in one availability zone, so that it is
// lost with that zone; there are none where the site has only one zone.
func SingleZone(config *Config) []string {
	if len(config.Zones) < 2 {
		return nil
	}
	zones := make(map[string]string, len(config.Servers))
	for i := range config.Servers {
		zones[config.Servers[i].Name] = config.Servers[i].Zone
	}
	var single []string
	for _, service := range config.Services {
		for _, shard := range service.Shards {
			first := zones[shard.Servers[0]]
			if !slices.ContainsFunc(shard.Servers, func(name string) bool { return zones[name] != first }) {
				single = append(single, service.Name+"/"+shard.Name)
			}
		}
	}
	return single
}

// Unserved returns, as "service/shard", every shard without a server that may receive new work, because all of
// its servers are draining or in a zone that is out.
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
