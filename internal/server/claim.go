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

// pendingForward is a query that was forwarded to its claim point and is not answered yet.
type pendingForward struct {
	claimPoint broker.NodeID
	answer     chan broker.Answer
}

// pendingForwards contains the pending forwards by sequence number.
type pendingForwards struct {
	mu         sync.Mutex
	bySequence map[uint64]pendingForward
}

func newPendingForwards() *pendingForwards {
	return &pendingForwards{bySequence: make(map[uint64]pendingForward)}
}

func (f *pendingForwards) add(sequence uint64, claimPoint broker.NodeID) chan broker.Answer {
	f.mu.Lock()
	defer f.mu.Unlock()
	answer := make(chan broker.Answer, 1)
	f.bySequence[sequence] = pendingForward{claimPoint: claimPoint, answer: answer}
	return answer
}

func (f *pendingForwards) remove(sequence uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.bySequence, sequence)
}

func (f *pendingForwards) deliver(from broker.NodeID, message *broker.ForwardAnswer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	pending, ok := f.bySequence[message.Sequence]
	if !ok || pending.claimPoint != from {
		return
	}
	delete(f.bySequence, message.Sequence)
	pending.answer <- message.Answer
}

// linkDown ends all pending forwards to node, whose outcome is then unknown.
func (f *pendingForwards) linkDown(node broker.NodeID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for sequence, pending := range f.bySequence {
		if pending.claimPoint == node {
			delete(f.bySequence, sequence)
			close(pending.answer)
		}
	}
}

// outcomeUnknownAnswer returns the answer to a query that may have run.
func outcomeUnknownAnswer(query *broker.Query, reason broker.Reason) broker.Answer {
	return broker.Answer{RequestID: query.RequestID, Status: broker.StatusOutcomeUnknown, Reason: reason}
}

// runOnce runs a non-idempotent query at the claim point of its shard, which is this node or the one it forwards to.
func (s *Server) runOnce(
	ctx context.Context, query broker.Query, view *tracker.View, deadline time.Time,
) (broker.Answer, error) {
	if _, _, err := deduplicator.ParseRequestID(query.RequestID); err != nil {
		return broker.Answer{}, invalidRequestID(err)
	}
	target, ok := targetShard(view, &query)
	if !ok {
		return notRunAnswer(&query, broker.ReasonNoReplica), nil
	}
	claimPoint, _, allowed := s.joiner.ClaimPoint(target.Service, target.Shard)
	switch {
	case claimPoint == s.ID() && allowed:
		return s.claim(ctx, query, target, view, deadline)
	case claimPoint == s.ID():
		return notRunAnswer(&query, broker.ReasonLeaseLapsed), nil
	case claimPoint == "":
		return notRunAnswer(&query, broker.ReasonNotOwner), nil
	}
	sequence := s.sequence.Add(1)
	answers := s.forwards.add(sequence, claimPoint)
	defer s.forwards.remove(sequence)
	err := s.Send(claimPoint, broker.Message{Forward: &broker.Forward{
		Sequence: sequence, Query: query, Remaining: time.Until(deadline),
		Revision: view.Table.Revision, TraceParent: tracer.TraceParent(ctx),
	}})
	if err != nil {
		return notRunAnswer(&query, broker.ReasonUnreachable), nil
	}
	select {
	case answer, ok := <-answers:
		if !ok {
			return outcomeUnknownAnswer(&query, broker.ReasonUnreachable), nil
		}
		return answer, nil
	case <-ctx.Done():
		return outcomeUnknownAnswer(&query, broker.ReasonDeadline), nil
	}
}

// targetShard returns the shard that a non-idempotent query is sent to, or false if there is none.
func targetShard(view *tracker.View, query *broker.Query) (joiner.ShardID, bool) {
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

// mayClaim returns whether this node is the claim point of a shard and currently allowed to claim.
func (s *Server) mayClaim(target joiner.ShardID) bool {
	claimPoint, _, allowed := s.joiner.ClaimPoint(target.Service, target.Shard)
	return allowed && claimPoint == s.ID()
}

// claim runs a query unless its request ID was used before; this node must be the claim point of its shard.
func (s *Server) claim(
	ctx context.Context, query broker.Query, target joiner.ShardID, view *tracker.View, deadline time.Time,
) (broker.Answer, error) {
	decision, err := s.claims.Claim(target.Service, target.Shard, query.RequestID, time.Now())
	if err != nil {
		return broker.Answer{}, invalidRequestID(err)
	}
	s.counters.countClaim(decision.Kind)
	switch decision.Kind {
	case deduplicator.DecisionAnswer:
		return *decision.Answer, nil
	case deduplicator.DecisionUnknown:
		return outcomeUnknownAnswer(&query, decision.Reason), nil
	case deduplicator.DecisionNotRun, deduplicator.DecisionElsewhere:
		return notRunAnswer(&query, decision.Reason), nil
	}
	// If the lease lapsed after the first check, the next claim point may have a fence below this request ID and run the
	// query too.
	if !s.mayClaim(target) {
		answer := notRunAnswer(&query, broker.ReasonLeaseLapsed)
		s.claims.Finish(target.Service, target.Shard, query.RequestID, &answer)
		return answer, nil
	}
	// The claim must be finished even if the caller disconnects before the answer is known.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()
	answer, err := s.scatter(ctx, query, view, deadline)
	if err != nil {
		answer = notRunAnswer(&query, broker.ReasonNoReplica)
	}
	s.claims.Finish(target.Service, target.Shard, query.RequestID, &answer)
	return answer, err
}

// handleForward runs a query that another node has forwarded to this claim point.
func (s *Server) handleForward(from broker.NodeID, message *broker.Forward) {
	reply := func(answer broker.Answer) {
		// If the answer is lost, the entry returns outcomeUnknown; the caller can send the same request ID again to learn
		// the outcome.
		_ = s.Send(from, broker.Message{ForwardAnswer: &broker.ForwardAnswer{Sequence: message.Sequence, Answer: answer}})
	}
	view := s.tracker.View()
	if view == nil || view.Table == nil || view.Table.Kind(message.Query.Kind) == nil {
		reply(notRunAnswer(&message.Query, broker.ReasonNotOwner))
		return
	}
	target, ok := targetShard(view, &message.Query)
	if !ok || !s.mayClaim(target) {
		reply(notRunAnswer(&message.Query, broker.ReasonNotOwner))
		return
	}
	ctx, span := s.tracer.Start(tracer.WithTraceParent(context.Background(), message.TraceParent), "claimPoint.query")
	defer span.End()
	answer, err := s.claim(ctx, message.Query, target, view, time.Now().Add(message.Remaining))
	if err != nil {
		answer = notRunAnswer(&message.Query, broker.ReasonExpiredID)
	}
	reply(answer)
}

func invalidRequestID(err error) error {
	return &broker.Error{Op: "accept the request ID", Kind: broker.KindInvalid, Err: errors.WithStack(err)}
}
