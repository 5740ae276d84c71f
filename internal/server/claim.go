package server

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/deduplicator"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/joiner"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/scatterer"
	"github.com/yuccarock/yuccarock/internal/broker/state/tracker"
	"github.com/yuccarock/yuccarock/internal/tracer"
)

// forward is a query that waits for the answer of its claim point.
type forward struct {
	to     broker.NodeID
	answer chan broker.Answer
}

// forwards finds waiting forwards by their sequence.
type forwards struct {
	mu      sync.Mutex
	waiting map[uint64]forward
}

func newForwards() *forwards { return &forwards{waiting: make(map[uint64]forward)} }

func (f *forwards) add(sequence uint64, to broker.NodeID) chan broker.Answer {
	f.mu.Lock()
	defer f.mu.Unlock()
	answer := make(chan broker.Answer, 1)
	f.waiting[sequence] = forward{to: to, answer: answer}
	return answer
}

func (f *forwards) remove(sequence uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.waiting, sequence)
}

func (f *forwards) deliver(from broker.NodeID, message *broker.ForwardAnswer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	waiting, ok := f.waiting[message.Sequence]
	if !ok || waiting.to != from {
		return
	}
	delete(f.waiting, message.Sequence)
	waiting.answer <- message.Answer
}

// linkDown ends the forwards to node; whether they ran is unknown.
func (f *forwards) linkDown(node broker.NodeID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for sequence, waiting := range f.waiting {
		if waiting.to == node {
			delete(f.waiting, sequence)
			close(waiting.answer)
		}
	}
}

func unknown(query *broker.Query, reason broker.Reason) broker.Answer {
	return broker.Answer{RequestID: query.RequestID, Status: broker.StatusOutcomeUnknown, Reason: reason}
}

// runOnce runs a non-idempotent query at the claim point of its shard.
func (s *Server) runOnce(
	ctx context.Context, query broker.Query, view *tracker.View, deadline time.Time,
) (broker.Answer, error) {
	if _, _, err := deduplicator.ParseRequestID(query.RequestID); err != nil {
		return broker.Answer{}, invalidID(err)
	}
	target, ok := claimShard(view, &query)
	if !ok {
		return refuse(&query, broker.ReasonNoReplica), nil
	}
	point, _, may := s.joiner.ClaimPoint(target.Service, target.Shard)
	switch {
	case point == s.ID() && may:
		return s.claim(ctx, query, target, view, deadline)
	case point == s.ID():
		return refuse(&query, broker.ReasonLeaseLapsed), nil
	case point == "":
		return refuse(&query, broker.ReasonNotOwner), nil
	}
	sequence := s.sequence.Add(1)
	answers := s.forwards.add(sequence, point)
	defer s.forwards.remove(sequence)
	err := s.Send(point, broker.Message{Forward: &broker.Forward{
		Sequence: sequence, Query: query, Remaining: time.Until(deadline),
		Revision: view.Table.Revision, TraceParent: tracer.TraceParent(ctx),
	}})
	if err != nil {
		return refuse(&query, broker.ReasonUnreachable), nil
	}
	select {
	case answer, ok := <-answers:
		if !ok {
			return unknown(&query, broker.ReasonUnreachable), nil
		}
		return answer, nil
	case <-ctx.Done():
		return unknown(&query, broker.ReasonDeadline), nil
	}
}

// claimShard returns the shard that a non-idempotent query goes to, or false.
func claimShard(view *tracker.View, query *broker.Query) (joiner.ShardID, bool) {
	kind := view.Table.Kind(query.Kind)
	service := view.Service(kind.Service)
	if service == nil {
		return joiner.ShardID{}, false
	}
	shard := scatterer.TargetShard(service.Service, kind, query)
	if shard == nil {
		return joiner.ShardID{}, false
	}
	return joiner.ShardID{Service: service.Name, Shard: shard.Name}, true
}

// mayClaim returns whether this node is the claim point of a shard now.
func (s *Server) mayClaim(target joiner.ShardID) bool {
	point, _, may := s.joiner.ClaimPoint(target.Service, target.Shard)
	return may && point == s.ID()
}

// claim runs a query whose request ID was not used before; this node must be the claim point of its shard.
func (s *Server) claim(
	ctx context.Context, query broker.Query, target joiner.ShardID, view *tracker.View, deadline time.Time,
) (broker.Answer, error) {
	decision, err := s.claims.Claim(target.Service, target.Shard, query.RequestID, time.Now())
	if err != nil {
		return broker.Answer{}, invalidID(err)
	}
	s.meters.claim(decision.Kind)
	switch decision.Kind {
	case deduplicator.DecisionAnswer:
		return *decision.Answer, nil
	case deduplicator.DecisionUnknown:
		return unknown(&query, decision.Reason), nil
	case deduplicator.DecisionNotRun, deduplicator.DecisionElsewhere:
		return refuse(&query, decision.Reason), nil
	}
	// A lease that lapsed after the first check may have a successor whose fence is below this request ID.
	if !s.mayClaim(target) {
		answer := refuse(&query, broker.ReasonLeaseLapsed)
		s.claims.Finish(target.Service, target.Shard, query.RequestID, &answer)
		return answer, nil
	}
	// The caller may be gone before the answer is known; the claim still has to be settled.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()
	answer, err := s.run(ctx, query, view, deadline)
	if err != nil {
		answer = refuse(&query, broker.ReasonNoReplica)
	}
	s.claims.Finish(target.Service, target.Shard, query.RequestID, &answer)
	return answer, err
}

// handleForward runs a query that another entry has forwarded to this claim point.
func (s *Server) handleForward(from broker.NodeID, message *broker.Forward) {
	reply := func(answer broker.Answer) {
		// A lost answer is outcomeUnknown at the entry, which the caller settles by sending the same ID again.
		_ = s.Send(from, broker.Message{ForwardAnswer: &broker.ForwardAnswer{Sequence: message.Sequence, Answer: answer}})
	}
	view := s.tracker.View()
	if view == nil || view.Table == nil || view.Table.Kind(message.Query.Kind) == nil {
		reply(refuse(&message.Query, broker.ReasonNotOwner))
		return
	}
	target, ok := claimShard(view, &message.Query)
	if !ok || !s.mayClaim(target) {
		reply(refuse(&message.Query, broker.ReasonNotOwner))
		return
	}
	ctx, span := s.tracer.Start(tracer.WithTraceParent(context.Background(), message.TraceParent), "claimPoint.query")
	defer span.End()
	answer, err := s.claim(ctx, message.Query, target, view, time.Now().Add(message.Remaining))
	if err != nil {
		answer = refuse(&message.Query, broker.ReasonExpiredID)
	}
	reply(answer)
}

func invalidID(err error) error {
	return &broker.Error{Op: "accept the request ID", Kind: broker.KindInvalid, Err: errors.WithStack(err)}
}
