package server

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/drainer"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/quarantiner"
	"github.com/yuccarock/yuccarock/internal/broker/state/tracker"
)

// fingerprintOf returns the fingerprint of a query's kind, key and body.
func fingerprintOf(query *broker.Query) broker.Fingerprint {
	return quarantiner.Fingerprint(query.Kind, query.Key, string(query.Body))
}

// notRunAnswer returns the answer to a query of which no part has run.
func notRunAnswer(query *broker.Query, reason broker.Reason) broker.Answer {
	return broker.Answer{RequestID: query.RequestID, Status: broker.StatusNotRun, Reason: reason}
}

// Query runs one query for a caller.
func (s *Server) Query(ctx context.Context, query broker.Query) (broker.Answer, error) {
	// While a new incarnation is being set up, answers of other nodes would be lost with the closed links. Until the new
	// links are up, most servers seem unreachable.
	if s.rejoiningSince.Load() != nil || s.liveness.relinking(time.Now()) || !s.drainer.Begin() {
		answer := notRunAnswer(&query, broker.ReasonLeaving)
		answer.Entries = s.entryAddresses(time.Now())
		return answer, nil
	}
	defer s.drainer.End()
	ctx, span := s.tracer.Start(ctx, "entry.query", attribute.String("kind", query.Kind))
	defer span.End()
	view := s.tracker.View()
	if view == nil || view.Table == nil {
		return notRunAnswer(&query, broker.ReasonNoReplica), nil
	}
	kind := view.Table.Kind(query.Kind)
	if kind == nil {
		return broker.Answer{}, &broker.Error{
			Op: "run the query", Kind: broker.KindInvalid, Err: errors.Errorf("unknown request kind %q", query.Kind),
		}
	}
	if s.refusesForZone(time.Now()) {
		answer := notRunAnswer(&query, broker.ReasonZoneOut)
		answer.Entries = s.entryAddresses(time.Now())
		return answer, nil
	}
	deadline := time.Now().Add(time.Duration(kind.Deadline))
	if limit, ok := ctx.Deadline(); ok && limit.Before(deadline) {
		deadline = limit
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	answer, err := s.route(ctx, query, view, kind.Idempotent, deadline)
	span.SetAttributes(attribute.String("status", string(answer.Status)),
		attribute.Int("shardsAnswered", answer.Coverage.ShardsAnswered))
	return answer, err
}

func (s *Server) route(
	ctx context.Context, query broker.Query, view *tracker.View, idempotent bool, deadline time.Time,
) (broker.Answer, error) {
	if idempotent {
		return s.scatter(ctx, query, view, deadline)
	}
	return s.runOnce(ctx, query, view, deadline)
}

// refusesForZone returns whether this node's zone has been out for longer than callers use an entry list.
func (s *Server) refusesForZone(now time.Time) bool {
	since := s.zoneOutSince.Load()
	return since != nil && now.Sub(*since) > entriesTimeToLive+transitGrace
}

// Ready returns nil if the node takes requests and otherwise an error of kind KindNotReady.
func (s *Server) Ready() error {
	if state := s.drainer.State(); state != drainer.StateServing {
		return &broker.Error{Op: "take requests", Kind: broker.KindNotReady, Err: errors.Errorf("the node is %s", state)}
	}
	if s.adopter.Revision() == 0 {
		return &broker.Error{
			Op: "take requests", Kind: broker.KindNotReady, Err: errors.New("no configuration is in force"),
		}
	}
	return nil
}

// Entries returns the addresses of live nodes in zones that are in service, in random order to spread callers.
func (s *Server) Entries(now time.Time) broker.Entries {
	members := s.usableMembers()
	rand.Shuffle(len(members), func(i, k int) { members[i], members[k] = members[k], members[i] })
	entries := broker.Entries{TimeToLive: entriesTimeToLive.String(), Revision: s.adopter.Revision(), Now: now}
	for i := range members {
		entries.Entries = append(entries.Entries, broker.EntryAddress{Address: members[i].Entry, Zone: members[i].Zone})
	}
	return entries
}

func (s *Server) entryAddresses(now time.Time) []string {
	entries := s.Entries(now).Entries
	addresses := make([]string, 0, len(entries))
	for i := range entries {
		addresses = append(addresses, entries[i].Address.String())
	}
	return addresses
}

// usableMembers returns the members that are not leaving, have a link and are in a zone that is in service. If there is
// none, for example because every zone is out, it returns this node, which answers callers with the reason.
func (s *Server) usableMembers() []broker.Member {
	self := s.peers.member()
	table := s.adopter.Table()
	var usable []broker.Member
	addInService := func(member broker.Member) {
		if table != nil && table.ZoneOut(member.Zone) {
			return
		}
		usable = append(usable, member)
	}
	if !s.drainer.Leaving() {
		addInService(self)
	}
	for _, member := range s.joiner.Members() {
		if member.ID != self.ID && s.liveness.usable(member.ID) {
			addInService(member)
		}
	}
	if len(usable) == 0 {
		usable = append(usable, self)
	}
	return usable
}

// Status returns the state of this node and what it knows of members, backend servers and coverage.
func (s *Server) Status() broker.NodeStatus {
	self := s.peers.member()
	status := broker.NodeStatus{
		Node: self.ID, Zone: self.Zone, State: s.drainer.State(), Revision: s.adopter.Revision(),
		Generation: s.joiner.Generation(), Members: s.joiner.Members(),
	}
	view := s.tracker.View()
	if view == nil || view.Table == nil {
		return status
	}
	for i := range view.Table.Config.Servers {
		name := broker.ServerName(view.Table.Config.Servers[i].Name)
		if server := s.tracker.Server(name); server != nil {
			if state := server.State(); state != nil {
				status.Servers = append(status.Servers, *state)
				continue
			}
		}
		status.Servers = append(status.Servers, broker.ServerState{Server: name, Phase: broker.PhaseUnknown})
	}
	for i := range view.Table.Config.Services {
		status.Coverage = append(status.Coverage, s.coverage(view, view.Table.Config.Services[i].Name))
	}
	return status
}

func (s *Server) coverage(view *tracker.View, name string) broker.ServiceCoverage {
	service := view.Service(name)
	coverage := broker.ServiceCoverage{Service: name, ShardsTotal: len(service.Tracked)}
	for i := range service.Tracked {
		for _, replica := range service.Tracked[i].Replicas {
			state := replica.State()
			if state != nil && replica.Usable(state, service.Partitioning) {
				coverage.ShardsAvailable++
				break
			}
		}
	}
	return coverage
}
