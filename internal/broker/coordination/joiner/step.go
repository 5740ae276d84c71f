package joiner

import (
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/leaser"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/ranker"
	"github.com/yuccarock/yuccarock/internal/broker/state/indexer"
	"github.com/yuccarock/yuccarock/pkg/configurator"
)

// step passes one event to the core and performs the resulting actions in order.
func (j *Joiner) step(now time.Time, event leaser.Event) {
	for _, action := range j.core.Load().Step(now, event) {
		j.perform(now, action)
	}
}

func (j *Joiner) perform(now time.Time, action leaser.Action) {
	switch a := action.(type) {
	case leaser.SendMessage:
		// A heartbeat that cannot be sent counts as lost.
		_ = j.peers.Send(a.To, a.Message)
	case leaser.PushMembership:
		j.pushMembership(a.To)
	case leaser.KeysGained:
		servers, claims := splitKeys(a.Keys)
		if len(servers) > 0 {
			j.log.Info("gained servers", "servers", len(servers), "planned", a.Planned)
			j.handler.OwnershipChanged(servers, nil, a.Planned)
		}
		if len(claims) > 0 {
			j.log.Info("gained claim points", "shards", len(claims), "planned", a.Planned)
			j.handler.ClaimsGained(claims, a.Planned)
		}
	case leaser.KeysLost:
		if servers, _ := splitKeys(a.Keys); len(servers) > 0 {
			j.log.Info("lost servers", "servers", len(servers), "planned", a.Planned)
			j.handler.OwnershipChanged(nil, servers, a.Planned)
		}
	case leaser.Handover:
		j.sendRelease(now, a)
	case leaser.RewriteMembership:
		j.startRewrite(now, a.Remove)
	case leaser.Rejoin:
		j.rejoinAt = now.Add(j.jitter(j.settings.RetryMin, j.settings.RetryMax/2))
	case leaser.LifecycleChanged:
		if a.To == leaser.LeaseHeld {
			j.isolatedJoinDelay = j.settings.IsolatedJoinDelay
		}
		j.log.Info("lease changed", "from", string(a.From), "to", string(a.To))
	}
}

func (j *Joiner) adoptMembership(membership broker.Membership) {
	if membership.Generation <= j.membership.Generation {
		return
	}
	j.membership, j.generationSince = membership, j.clock.Now()
	j.log.Info("generation adopted", "generation", membership.Generation, "members", len(membership.Members))
	j.step(j.clock.Now(), leaser.AdoptMembership{Membership: membership})
}

// offerConfig adopts a configuration if it is valid and newer, and assigns its servers and claim points.
func (j *Joiner) offerConfig(object broker.ConfigObject) {
	adopted, err := j.adopter.Offer(object)
	if err != nil {
		j.counters.refused.Inc()
		j.log.Error("configuration refused", "revision", object.Revision, "error", err)
	}
	if adopted {
		j.counters.adopted.Inc()
		j.log.Info("configuration adopted", "revision", object.Revision)
		j.tableChanged()
	}
}

func (j *Joiner) tableChanged() {
	table := j.adopter.Table()
	core := j.core.Load()
	core.SetRevision(j.adopter.Revision())
	j.step(j.clock.Now(), leaser.AssignResources{Resources: j.resources(table)})
	j.handler.TableChanged(table)
	j.applyZoneState(table)
}

// applyZoneState leaves the cell when the zone of this process goes out of service, and rejoins when it is back.
func (j *Joiner) applyZoneState(table *indexer.Table) {
	out := false
	for i := range table.Config.Zones {
		zone := &table.Config.Zones[i]
		out = out || zone.Name == j.self.Zone && zone.State == configurator.ZoneOut
	}
	if out == j.zoneOut {
		return
	}
	j.zoneOut = out
	now := j.clock.Now()
	if out {
		j.selfRemovalAt = now.Add(j.settings.Leaser.RewriteInterval)
		j.step(now, leaser.Leave{})
	} else if !j.leaving {
		j.rejoinAt = now
	}
}

// resources returns the servers and claim points of a table that belong to this cell. Only services with a
// non-idempotent kind have claim points.
func (j *Joiner) resources(table *indexer.Table) []leaser.Resource {
	config := table.Config
	outside := j.zonesOutsideRegion(config.Zones)
	list := make([]leaser.Resource, 0, len(config.Servers))
	for i := range config.Servers {
		server := &config.Servers[i]
		if !outside[server.Zone] && j.belongsToCell(server.Name) {
			list = append(list, leaser.Resource{
				Key: leaser.Key{Server: broker.ServerName(server.Name)}, Zone: server.Zone,
			})
		}
	}
	claimed := make(map[string]bool)
	for i := range config.RequestKinds {
		if kind := &config.RequestKinds[i]; !kind.Idempotent {
			claimed[kind.Service] = true
		}
	}
	for i := range config.Services {
		service := &config.Services[i]
		if !claimed[service.Name] {
			continue
		}
		for k := range service.Shards {
			if name := service.Shards[k].Name; j.belongsToCell(service.Name + "/" + name) {
				list = append(list, leaser.Resource{
					Key: leaser.Key{Service: service.Name, Shard: broker.ShardName(name)},
				})
			}
		}
	}
	return list
}

func (j *Joiner) belongsToCell(key string) bool {
	return ranker.Cell(j.settings.Cells, key) == j.settings.Cell
}

// zonesOutsideRegion returns for each zone whether it belongs to another region.
func (j *Joiner) zonesOutsideRegion(zones []configurator.Zone) map[string]bool {
	outside := make(map[string]bool)
	for i := range zones {
		outside[zones[i].Name] = j.settings.Region != "" && zones[i].Region != j.settings.Region
	}
	return outside
}

// isMember returns whether this incarnation is in the current member list.
func (j *Joiner) isMember() bool {
	for i := range j.membership.Members {
		if j.membership.Members[i].ID == j.self.ID {
			return true
		}
	}
	return false
}

// rejoin starts a new incarnation with a new core, to which no grant of the old incarnation carries over.
func (j *Joiner) rejoin(now time.Time) {
	j.rejoinAt, j.isolatedJoinAt = time.Time{}, time.Time{}
	j.self = j.handler.NewIncarnation(j.self)
	j.handovers = nil
	j.log.Info("rejoining", "node", j.self.ID)
	core := leaser.New(j.settings.Leaser, j.self, now)
	core.InheritObservations(j.core.Load())
	j.core.Store(core)
	j.step(now, leaser.AdoptMembership{Membership: j.membership})
	if j.adopter.Table() != nil {
		j.core.Load().SetRevision(j.adopter.Revision())
		j.step(now, leaser.AssignResources{Resources: j.resources(j.adopter.Table())})
	}
}
