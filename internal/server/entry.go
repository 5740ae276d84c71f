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

// fingerprintOf identifies kind, key and body of a query.
func fingerprintOf(query *broker.Query) broker.Fingerprint {
	return quarantiner.Fingerprint(query.Kind, query.Key, string(query.Body))
}

// refuse returns the answer to a query of which nothing ran.
func refuse(query *broker.Query, reason broker.Reason) broker.Answer {
	return broker.Answer{RequestID: query.RequestID, Status: broker.StatusNotRun, Reason: reason}
}

// Query runs one query for a caller.
func (s *Server) Query(ctx context.Context, query broker.Query) (broker.Answer, error) {
	// Without links an answer could only be lost.
	if s.rejoining.Load() != nil || !s.drainer.Begin() {
		answer := refuse(&query, broker.ReasonLeaving)
		answer.Entries = s.entryAddresses(time.Now())
		return answer, nil
	}
	defer s.drainer.End()
	ctx, span := s.tracer.Start(ctx, "entry.query", attribute.String("kind", query.Kind))
	defer span.End()
	view := s.tracker.View()
	if view == nil || view.Table == nil {
		return refuse(&query, broker.ReasonNoReplica), nil
	}
	kind := view.Table.Kind(query.Kind)
	if kind == nil {
		return broker.Answer{}, &broker.Error{
			Op: "run the query", Kind: broker.KindInvalid, Err: errors.Errorf("unknown request kind %q", query.Kind),
		}
	}
	if s.zoneRefuses(time.Now()) {
		answer := refuse(&query, broker.ReasonZoneOut)
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
		return s.run(ctx, query, view, deadline)
	}
	return s.runOnce(ctx, query, view, deadline)
}

// zoneRefuses returns whether the own zone has been out for longer than callers keep a resolve answer.
func (s *Server) zoneRefuses(now time.Time) bool {
	since := s.zoneOutSince.Load()
	return since != nil && now.Sub(*since) > timeToLive+staleGrace
}

// Ready returns nil while the node takes requests.
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

// Entries returns the addresses of live nodes whose zone is in service, in random order, which spreads callers.
func (s *Server) Entries(now time.Time) broker.Entries {
	members := s.usableMembers()
	rand.Shuffle(len(members), func(i, k int) { members[i], members[k] = members[k], members[i] })
	entries := broker.Entries{TimeToLive: timeToLive.String(), Revision: s.adopter.Revision(), Now: now}
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

// usableMembers leaves out nodes that are leaving, without a link, or in a zone that is out. Where that leaves none, as
// when every zone is out, the caller is told of this node, which answers with the reason.
func (s *Server) usableMembers() []broker.Member {
	self := s.peers.member()
	table := s.adopter.Table()
	var usable []broker.Member
	consider := func(member broker.Member) {
		if table != nil && table.ZoneOut(member.Zone) {
			return
		}
		usable = append(usable, member)
	}
	if !s.drainer.Leaving() {
		consider(self)
	}
	for _, member := range s.joiner.Members() {
		if member.ID != self.ID && s.liveness.usable(member.ID) {
			consider(member)
		}
	}
	if len(usable) == 0 {
		usable = append(usable, self)
	}
	return usable
}

// Status returns what this node has in force.
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
	covered := broker.ServiceCoverage{Service: name, ShardsTotal: len(service.Tracked)}
	for i := range service.Tracked {
		for _, replica := range service.Tracked[i].Replicas {
			state := replica.State()
			if state != nil && replica.Usable(state, service.Partitioning) {
				covered.ShardsAvailable++
				break
			}
		}
	}
	return covered
}
