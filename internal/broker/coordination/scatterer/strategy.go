package scatterer

import (
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/budgeter"
	"github.com/yuccarock/yuccarock/internal/broker/state/tracker"
)

const (
	// hedgeShare of the latency target is the longest delay of a hedge: the second server needs the rest.
	hedgeShare = 0.4
	// unknownShare of the latency target is the delay of a hedge while the shard's latency is not known.
	unknownShare = 0.25
	// remoteCost is added to the expected time of a server in another availability zone. Traffic between zones is
	// priced, and the way there and back takes a few milliseconds.
	remoteCost = 8 * time.Millisecond
	// targetMargin is kept back from the latency target, but no more than targetMarginShare of it. Callers count from
	// before they ask where to connect and open a connection, which takes several round trips.
	targetMargin      = 30 * time.Millisecond
	targetMarginShare = 0.4
	// spread is the share by which expected times vary at random, so that hosts do not all choose the same server.
	spread = 0.2
)

// Strategy is how a host sends to backend servers itself. The zero value leaves the choice of a server to what owners
// announce of their load.
type Strategy struct {
	// Direct is whether this host sends to the servers itself and sees their answers.
	Direct bool
	// Zone is the availability zone of this host.
	Zone string
	// Target is the time after the start at which an answer that reaches the least coverage is given, zero for none.
	Target time.Duration
	// Attempts is the most servers that one shard's request may run on, zero for the limit of the package.
	Attempts int
	// Budgets pay for further attempts by shard, in place of those of the request kind.
	Budgets *budgeter.Shards
}

// NewStrategy returns the strategy of a host in a zone for the requests of a route.
func NewStrategy(route *broker.Route, zone string, budgets *budgeter.Shards) Strategy {
	strategy := Strategy{Direct: true, Zone: zone, Attempts: max(1, route.MaxAttempts), Budgets: budgets}
	if target := route.LatencyTarget; route.Scatter() && target > 0 {
		strategy.Target = target - min(targetMargin, time.Duration(float64(target)*targetMarginShare))
	}
	return strategy
}

// budget returns what pays for further attempts at a shard, or nil where the kind's budgets do.
func (s *Session) budget(sh *shard) *budgeter.Budget {
	if s.strategy.Budgets == nil {
		return nil
	}
	return s.strategy.Budgets.Shard(sh.tracked.Name)
}

// spent returns whether a shard has had all the attempts that it may have. Attempts that certainly did not run do not
// count towards the limit of the strategy.
func (s *Session) spent(sh *shard) bool {
	if sh.used == maxAttempts {
		return true
	}
	limit := s.strategy.Attempts
	if limit == 0 {
		return false
	}
	ran := 0
	for i := range sh.attempts[:sh.used] {
		if !sh.attempts[i].notRun {
			ran++
		}
	}
	return ran >= limit
}

// hedgeDelay returns when a hedge is due after the first attempt.
func (s *Session) hedgeDelay(sh *shard) time.Duration {
	target := s.strategy.Target
	if target == 0 {
		return s.delay(sh, s.kind.HedgeQuantile)
	}
	known := sh.tracked.Latency.Quantile(s.kind.HedgeQuantile)
	if known == 0 {
		return time.Duration(float64(target) * unknownShare)
	}
	return min(known, time.Duration(float64(target)*hedgeShare))
}

// targetReached gives the answer at the latency target if it reaches the least coverage; otherwise the query goes on
// until it does.
func (s *Session) targetReached() {
	s.late = true
	s.stopIfEnough()
}

func (s *Session) stopIfEnough() {
	if s.late && s.answered > 0 && s.answered >= s.needed() {
		s.stop(broker.ReasonDeadline)
	}
}

// chooseDirect returns the replica from which an answer is expected first.
func (s *Session) chooseDirect(sh *shard) (candidate, broker.Reason) {
	now := s.started.Add(s.now)
	var best candidate
	var least time.Duration
	var cold []candidate
	reason := broker.ReasonNoReplica
	for _, replica := range sh.tracked.Replicas {
		var found candidate
		if found, reason = s.consider(sh, replica, reason); found.server == nil {
			continue
		}
		if replica.Reassigned(s.view.Table.Server(replica.Name).Address) {
			reason = clearest(reason, broker.ReasonUnreachable)
			continue
		}
		if replica.RateLimited(now) {
			cold = append(cold, found)
			continue
		}
		if cost := s.cost(replica, found.state, now); best.server == nil || cost < least {
			best, least = found, cost
		}
	}
	if best.server != nil {
		return best, broker.ReasonNone
	}
	for _, found := range cold {
		if found.server.TakeColdToken(now) {
			return found, broker.ReasonNone
		}
		reason = clearest(reason, broker.ReasonCold)
	}
	return candidate{}, reason
}

func (s *Session) cost(replica tracker.Replica, state *broker.ServerState, now time.Time) time.Duration {
	expected := replica.ExpectedLatency(now, state.Limit)
	expected += time.Duration(float64(expected) * spread * s.random.Float64())
	if s.view.Table.Server(replica.Name).Zone != s.strategy.Zone {
		expected += remoteCost
	}
	return expected
}
