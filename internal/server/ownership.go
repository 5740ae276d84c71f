package server

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/joiner"
	"github.com/yuccarock/yuccarock/internal/broker/state/indexer"
	"github.com/yuccarock/yuccarock/internal/broker/transport/linker"
)

// announcements records when each server was last announced and the states that previous owners have released.
type announcements struct {
	mu       sync.Mutex
	times    map[broker.ServerName]time.Time
	released map[broker.ServerName]broker.ServerState
}

func newAnnouncements() *announcements {
	return &announcements{
		times:    make(map[broker.ServerName]time.Time),
		released: make(map[broker.ServerName]broker.ServerState),
	}
}

func (a *announcements) record(server broker.ServerName) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times[server] = time.Now()
}

func (a *announcements) recent(server broker.ServerName) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	announcedAt, ok := a.times[server]
	return ok && time.Since(announcedAt) < announcementMaxAge
}

func (a *announcements) storeReleased(state broker.ServerState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.released[state.Server] = state
}

func (a *announcements) takeReleased(server broker.ServerName) *broker.ServerState {
	a.mu.Lock()
	defer a.mu.Unlock()
	state, ok := a.released[server]
	if !ok {
		return nil
	}
	delete(a.released, server)
	return &state
}

// OwnershipChanged starts owning the gained servers and stops owning the lost ones.
func (s *Server) OwnershipChanged(gained, lost []broker.ServerName, planned bool) {
	for _, server := range lost {
		if state := s.owner.Release(server); state != nil && planned {
			s.unreleased[server] = *state
		}
	}
	for _, server := range gained {
		s.owner.Adopt(server, s.lastKnown(server, planned), planned)
	}
	s.counters.ownershipGained.Add(len(gained))
	s.counters.ownershipLost.Add(len(lost))
}

// lastKnown returns the state that the previous owner released, or else the last announced state if it is recent.
func (s *Server) lastKnown(server broker.ServerName, planned bool) *broker.ServerState {
	released := s.announcements.takeReleased(server)
	if planned && released != nil {
		return released
	}
	tracked := s.tracker.Server(server)
	if tracked == nil || !s.announcements.recent(server) {
		return nil
	}
	return tracked.State()
}

// ClaimsGained fences the gained claim points unless the change was planned, because their earlier claims are lost.
func (s *Server) ClaimsGained(gained []joiner.ShardID, planned bool) {
	if planned {
		return
	}
	now := time.Now()
	s.logger.Info("claim points fenced", "shards", len(gained))
	for _, shard := range gained {
		s.claims.Fence(shard.Service, shard.Shard, now)
	}
}

// BuildRelease stops owning servers and claim points and returns their state for the next owner.
func (s *Server) BuildRelease(servers []broker.ServerName, claims []joiner.ShardID) broker.Release {
	var release broker.Release
	for _, server := range servers {
		state, ok := s.unreleased[server]
		if !ok {
			if released := s.owner.Release(server); released != nil {
				state, ok = *released, true
			}
		}
		if ok {
			release.Servers = append(release.Servers, state)
		}
		delete(s.unreleased, server)
	}
	for _, shard := range claims {
		release.Claims = append(release.Claims, s.claims.Export(shard.Service, shard.Shard, time.Now()))
	}
	return release
}

// AcceptRelease stores the state that the previous owner has released until this node becomes the owner.
func (s *Server) AcceptRelease(_ broker.NodeID, release broker.Release) {
	for _, state := range release.Servers {
		s.announcements.storeReleased(state)
	}
	for _, claims := range release.Claims {
		s.claims.Import(claims, time.Now())
	}
}

// NewIncarnation gives this process a new identity after it was excluded or removed.
func (s *Server) NewIncarnation(previous broker.Member) broker.Member {
	next := previous
	next.ID = newNodeID(s.name)
	s.logger.Info("incarnation changed", "from", previous.ID, "to", next.ID)
	s.liveness.awaitLinks(time.Now().Add(relinkTimeout))
	s.peers.replace(next, func() { s.rejoiningSince.Store(nil) })
	return next
}

// TableChanged applies a new configuration to all components of the node.
func (s *Server) TableChanged(table *indexer.Table) {
	s.dispatcher.SetTable(table)
	s.owner.SetTable(table)
	s.budgets.Adopt(table.Config.RequestKinds)
	s.tracker.Adopt(table)
	if !table.ZoneOut(s.settings.Zone) {
		s.zoneOutSince.Store(nil)
		return
	}
	s.rejoiningSince.Store(nil) // the node rejoins only when its zone is in service again
	if s.zoneOutSince.Load() == nil {
		now := time.Now()
		s.zoneOutSince.Store(&now)
	}
}

// serverStateChanged announces the state of an owned server to all nodes.
func (s *Server) serverStateChanged(state broker.ServerState) {
	state.Owner = s.ID()
	s.announcements.record(state.Server)
	s.tracker.Apply(state)
	s.broadcast(broker.Message{ServerState: &state})
}

// serverCrashed counts a crash report and sends it to all nodes.
func (s *Server) serverCrashed(report broker.CrashReport) {
	s.logger.Warn("backend server crashed while running a request", "server", report.Server,
		"fingerprint", uint64(report.Fingerprint), "alone", report.Alone, "cleared", report.Cleared)
	s.counters.crashReports.Inc()
	s.broadcast(broker.Message{CrashReport: &report})
}

// maintain updates the peer links when the member list changes and repeats the announcements of owned servers.
func (s *Server) maintain(ctx context.Context) {
	const membersInterval = 50 * time.Millisecond
	membersTicker := time.NewTicker(membersInterval)
	defer membersTicker.Stop()
	announceTicker := time.NewTicker(announceInterval)
	defer announceTicker.Stop()
	var generation broker.Generation
	var self broker.NodeID
	for {
		select {
		case <-membersTicker.C:
			currentGeneration, currentSelf := s.joiner.Generation(), s.ID()
			if currentGeneration != generation || currentSelf != self {
				generation, self = currentGeneration, currentSelf
				now := time.Now()
				s.membersSince.Store(&now)
				s.peers.setPeers(s.withSeeds(s.joiner.Members()))
			}
		case <-announceTicker.C:
			for _, state := range s.ownedStates() {
				s.announcements.record(state.Server)
				s.broadcast(broker.Message{ServerState: &state})
			}
		case <-ctx.Done():
			return
		}
	}
}

// ownedStates returns the states of owned servers with the current incarnation as owner.
func (s *Server) ownedStates() []broker.ServerState {
	states, self := s.owner.States(), s.ID()
	for i := range states {
		states[i].Owner = self
	}
	return states
}

// withSeeds returns members and those seed nodes of the settings that are not among them.
func (s *Server) withSeeds(members []broker.Member) []broker.Member {
	memberAddresses := make(map[netip.AddrPort]bool, len(members))
	for i := range members {
		memberAddresses[members[i].Peer] = true
	}
	all := slices.Clone(members)
	for name, address := range s.settings.Seeds {
		if name != s.name && !memberAddresses[address] {
			all = append(all, broker.Member{ID: linker.AnyIncarnation(name), Peer: address})
		}
	}
	return all
}
