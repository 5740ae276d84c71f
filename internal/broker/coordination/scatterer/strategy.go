package scatterer

import (
	"slices"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/budgeter"
	"github.com/yuccarock/yuccarock/internal/broker/state/tracker"
)

const (
	// maxHedgeDelayShare is the longest hedge delay as a share of the latency target; the second server needs the rest.
	maxHedgeDelayShare = 0.4
	// defaultHedgeDelayShare is the hedge delay as a share of the latency target while the shard's latency is not known.
	defaultHedgeDelayShare = 0.25
	// crossZoneCost is added to the expected time of a server in another availability zone, because traffic between zones
	// is charged for and its round trip takes a few milliseconds.
	crossZoneCost = 8 * time.Millisecond
	// delegatedZoneCost takes the place of crossZoneCost for zones in which another host sends to the servers. It grows by
	// delegatedZoneStep with each zone, so that as many sub-requests as possible are delegated to one host.
	delegatedZoneCost = 4 * time.Millisecond
	delegatedZoneStep = 2 * time.Millisecond
	// targetMargin is subtracted from the latency target, up to maxTargetMarginShare of it. Callers measure latency from
	// before they look up a host and open a connection, which takes several round trips.
	targetMargin         = 30 * time.Millisecond
	maxTargetMarginShare = 0.4
	// expectedTimeJitter is the share by which expected times are raised at random, so that hosts do not all choose the
	// same server.
	expectedTimeJitter = 0.2
)

// Strategy configures a host that sends to backend servers itself. With the zero value, servers are chosen by the
// states that their owners announce.
type Strategy struct {
	// Direct is set if this host sends to the servers itself and observes their answers.
	Direct bool
	// Zone is the availability zone of this host.
	Zone string
	// DelegatedZones are the zones in which another host sends to the servers, the preferred one first.
	DelegatedZones []string
	// Target is the time after the start from which an answer with the minimum coverage is returned, zero for none.
	Target time.Duration
	// MaxAttempts is the most servers that the request of one shard may run on, zero for the limit of the package.
	MaxAttempts int
	// Withheld reports whether a server gets no new requests by now. It is asked for attempts after the start; nil means that
	// the view of the session decides for all.
	Withheld func(server broker.ServerName) bool
	// Budgets limit hedges and retries by shard, in place of the budgets of the request kind.
	Budgets *budgeter.Shards
}

// NewStrategy returns the strategy of a host in zone for the requests of a route.
func NewStrategy(route *broker.Route, zone string, budgets *budgeter.Shards) Strategy {
	strategy := Strategy{Direct: true, Zone: zone, MaxAttempts: max(1, route.MaxAttempts), Budgets: budgets}
	if target := route.LatencyTarget; route.Scatter() && target > 0 {
		strategy.Target = target - min(targetMargin, time.Duration(float64(target)*maxTargetMarginShare))
	}
	return strategy
}

// shardBudget returns the budget for hedges and retries at a shard, or nil if those of the request kind apply.
func (s *Session) shardBudget(sh *shard) *budgeter.Budget {
	if s.strategy.Budgets == nil {
		return nil
	}
	return s.strategy.Budgets.Shard(sh.tracked.Name)
}

// attemptsExhausted returns whether a shard has used up its attempts. Attempts that certainly did not run do not count
// towards the limit of the strategy.
func (s *Session) attemptsExhausted(sh *shard) bool {
	if sh.attemptCount == maxAttempts {
		return true
	}
	limit := s.strategy.MaxAttempts
	if limit == 0 {
		return false
	}
	ran := 0
	for i := range sh.attempts[:sh.attemptCount] {
		if !sh.attempts[i].notRun {
			ran++
		}
	}
	return ran >= limit
}

// hedgeDelay returns the time between an attempt at a shard and its hedge.
func (s *Session) hedgeDelay(sh *shard) time.Duration {
	target := s.strategy.Target
	if target == 0 {
		return s.latencyQuantile(sh, s.kind.HedgeQuantile)
	}
	known := sh.tracked.Latency.Quantile(s.kind.HedgeQuantile)
	if known == 0 {
		return time.Duration(float64(target) * defaultHedgeDelayShare)
	}
	return min(known, time.Duration(float64(target)*maxHedgeDelayShare))
}

// targetReached finishes the query at the latency target if the minimum coverage is reached; otherwise the query goes
// on until it is.
func (s *Session) targetReached() {
	s.targetPassed = true
	s.stopIfCovered()
}

func (s *Session) stopIfCovered() {
	if s.targetPassed && s.answered > 0 && s.answered >= s.neededShards() {
		s.stopUnanswered(broker.ReasonDeadline)
	}
}

// chooseDirect returns the replica with the lowest expected time to answer, or the reason why there is none.
func (s *Session) chooseDirect(sh *shard) (candidate, broker.Reason) {
	now := s.started.Add(s.now)
	var best candidate
	var lowest time.Duration
	var cold, leaving []candidate
	reason := broker.ReasonNoReplica
	for _, replica := range sh.tracked.Replicas {
		var found candidate
		if found, reason = s.evaluateReplica(sh, replica, reason); found.server == nil {
			continue
		}
		if replica.Reassigned(s.view.Table.Server(replica.Name).Address) {
			reason = moreSpecific(reason, broker.ReasonUnreachable)
			continue
		}
		if s.now > 0 && s.strategy.Withheld != nil && s.strategy.Withheld(replica.Name) {
			reason = moreSpecific(reason, broker.ReasonDraining)
			continue
		}
		if withheld := s.withheldReason(sh, replica.Server); withheld != broker.ReasonNone {
			reason = moreSpecific(reason, withheld)
			s.stats.Withheld++
			continue
		}
		if replica.Leaving() {
			if sh.inFlight == 0 {
				leaving = append(leaving, found)
			}
			continue
		}
		if replica.RateLimited(now) {
			cold = append(cold, found)
			continue
		}
		if expected := s.expectedTime(replica, found.state, now); best.server == nil || expected < lowest {
			best, lowest = found, expected
		}
	}
	if best.server != nil && best.server.TakeToken(now) {
		return best, broker.ReasonNone
	}
	for _, found := range cold {
		if found.server.TakeColdToken(now) && found.server.TakeToken(now) {
			return found, broker.ReasonNone
		}
		reason = moreSpecific(reason, broker.ReasonCold)
	}
	for _, found := range leaving {
		if found.server.TakeToken(now) {
			return found, broker.ReasonNone
		}
	}
	if best.server != nil {
		reason = broker.ReasonLimited // another query has taken the token
	}
	return candidate{}, reason
}

func (s *Session) expectedTime(replica tracker.Replica, state *broker.ServerState, now time.Time) time.Duration {
	expected := replica.ExpectedLatency(now, state.Limit)
	expected += time.Duration(float64(expected) * expectedTimeJitter * s.random.Float64())
	return expected + s.zoneCost(s.view.Table.Server(replica.Name).Zone)
}

func (s *Session) zoneCost(zone string) time.Duration {
	if zone == s.strategy.Zone {
		return 0
	}
	if rank := slices.Index(s.strategy.DelegatedZones, zone); rank >= 0 {
		return min(delegatedZoneCost+time.Duration(rank)*delegatedZoneStep, crossZoneCost)
	}
	return crossZoneCost
}
