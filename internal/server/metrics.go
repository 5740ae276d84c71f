package server

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/deduplicator"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/scatterer"
)

// counters are the counters of this package; the packages it uses have their own.
type counters struct {
	metricSet       *metrics.Set
	lateAnswers     *metrics.Counter
	ownershipGained *metrics.Counter
	ownershipLost   *metrics.Counter
	crashReports    *metrics.Counter
	subRequests     *metrics.Counter
	hedges          *metrics.Counter
	hedgeWins       *metrics.Counter
	hedgesDenied    *metrics.Counter
	retries         *metrics.Counter
	retriesDenied   *metrics.Counter
	cancels         *metrics.Counter
	canaries        *metrics.Counter
	reruns          *metrics.Counter
	droppedAnswers  []*metrics.Counter
	claims          map[deduplicator.DecisionKind]*metrics.Counter
}

func newCounters(set *metrics.Set) *counters {
	counter := func(name string) *metrics.Counter { return set.GetOrCreateCounter("yuccarock_" + name) }
	c := &counters{
		metricSet:       set,
		lateAnswers:     counter("answers_after_query_total"),
		ownershipGained: counter("ownership_gained_total"),
		ownershipLost:   counter("ownership_lost_total"),
		crashReports:    counter("crash_reports_total"),
		subRequests:     counter("sub_requests_total"),
		hedges:          counter("hedges_total"),
		hedgeWins:       counter("hedge_wins_total"),
		hedgesDenied:    counter("hedges_denied_total"),
		retries:         counter("retries_total"),
		retriesDenied:   counter("retries_denied_total"),
		cancels:         counter("cancels_total"),
		canaries:        counter("canaries_total"),
		reruns:          counter("reruns_total"),
		claims:          make(map[deduplicator.DecisionKind]*metrics.Counter),
	}
	for drop := range scatterer.DropLate + 1 {
		c.droppedAnswers = append(c.droppedAnswers, counter(fmt.Sprintf("answers_dropped_total{reason=%q}", drop.String())))
	}
	names := map[deduplicator.DecisionKind]string{
		deduplicator.DecisionRun: "run", deduplicator.DecisionAnswer: "answer",
		deduplicator.DecisionUnknown: "unknown", deduplicator.DecisionNotRun: "notRun",
		deduplicator.DecisionElsewhere: "elsewhere",
	}
	for kind, name := range names {
		c.claims[kind] = counter(fmt.Sprintf("claims_total{decision=%q}", name))
	}
	return c
}

// addSession adds the counts of a finished scatterer session.
func (c *counters) addSession(stats *scatterer.Stats) {
	c.subRequests.Add(stats.Sent)
	c.hedges.Add(stats.Hedges)
	c.hedgeWins.Add(stats.HedgeWins)
	c.hedgesDenied.Add(stats.HedgesDenied)
	c.retries.Add(stats.Retries)
	c.retriesDenied.Add(stats.RetriesDenied)
	c.cancels.Add(stats.Cancels)
	c.canaries.Add(stats.Canaries)
	c.reruns.Add(stats.Reruns)
	for drop, counter := range c.droppedAnswers {
		counter.Add(stats.Drops[drop])
	}
}

func (c *counters) countClaim(kind deduplicator.DecisionKind) { c.claims[kind].Inc() }

// countRefusal counts a sub-request that this node refused as owner.
func (c *counters) countRefusal(reason broker.Reason) {
	c.metricSet.GetOrCreateCounter(fmt.Sprintf("yuccarock_owner_refusals_total{reason=%q}", reason)).Inc()
}

// registerGauges registers the gauges of this node's configuration, queries, claims and owned servers.
func (s *Server) registerGauges() {
	gauge := func(name string, value func() float64) { s.metricSet.GetOrCreateGauge("yuccarock_"+name, value) }
	gauge("config_revision", func() float64 { return float64(s.adopter.Revision()) })
	gauge("generation", func() float64 { return float64(s.joiner.Generation()) })
	gauge("queries_in_progress", func() float64 { return float64(s.drainer.Active()) })
	gauge("claims", func() float64 {
		claims, _ := s.claims.Len()
		return float64(claims)
	})
	phases := []broker.Phase{
		broker.PhaseUnknown, broker.PhaseCold, broker.PhaseRamping, broker.PhaseWarm, broker.PhaseDraining,
		broker.PhaseDown,
	}
	for _, phase := range phases {
		gauge(fmt.Sprintf("owned_servers{phase=%q}", phase), func() float64 {
			count := 0
			for _, state := range s.owner.States() {
				if state.Phase == phase {
					count++
				}
			}
			return float64(count)
		})
	}
}
