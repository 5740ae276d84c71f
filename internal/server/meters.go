package server

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/deduplicator"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/scatterer"
)

// meters are the counters of the wiring; the packages below keep their own.
type meters struct {
	set             *metrics.Set
	lateAnswers     *metrics.Counter
	ownershipGained *metrics.Counter
	ownershipLost   *metrics.Counter
	crashReports    *metrics.Counter
	sent            *metrics.Counter
	hedges          *metrics.Counter
	hedgeWins       *metrics.Counter
	hedgesDenied    *metrics.Counter
	retries         *metrics.Counter
	retriesDenied   *metrics.Counter
	cancels         *metrics.Counter
	canaries        *metrics.Counter
	reruns          *metrics.Counter
	drops           []*metrics.Counter
	claims          map[deduplicator.DecisionKind]*metrics.Counter
}

func newMeters(set *metrics.Set) *meters {
	counter := func(name string) *metrics.Counter { return set.GetOrCreateCounter("yuccarock_" + name) }
	m := &meters{
		set:             set,
		lateAnswers:     counter("answers_after_query_total"),
		ownershipGained: counter("ownership_gained_total"),
		ownershipLost:   counter("ownership_lost_total"),
		crashReports:    counter("crash_reports_total"),
		sent:            counter("sub_requests_total"),
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
		m.drops = append(m.drops, counter(fmt.Sprintf("answers_dropped_total{reason=%q}", drop.String())))
	}
	names := map[deduplicator.DecisionKind]string{
		deduplicator.DecisionRun: "run", deduplicator.DecisionAnswer: "answer",
		deduplicator.DecisionUnknown: "unknown", deduplicator.DecisionNotRun: "notRun",
		deduplicator.DecisionElsewhere: "elsewhere",
	}
	for kind, name := range names {
		m.claims[kind] = counter(fmt.Sprintf("claims_total{decision=%q}", name))
	}
	return m
}

func (m *meters) session(stats *scatterer.Stats) {
	m.sent.Add(stats.Sent)
	m.hedges.Add(stats.Hedges)
	m.hedgeWins.Add(stats.HedgeWins)
	m.hedgesDenied.Add(stats.HedgesDenied)
	m.retries.Add(stats.Retries)
	m.retriesDenied.Add(stats.RetriesDenied)
	m.cancels.Add(stats.Cancels)
	m.canaries.Add(stats.Canaries)
	m.reruns.Add(stats.Reruns)
	for drop, counter := range m.drops {
		counter.Add(stats.Drops[drop])
	}
}

func (m *meters) claim(kind deduplicator.DecisionKind) { m.claims[kind].Inc() }

// refusal counts what this node refused as owner.
func (m *meters) refusal(reason broker.Reason) {
	m.set.GetOrCreateCounter(fmt.Sprintf("yuccarock_owner_refusals_total{reason=%q}", reason)).Inc()
}

// observe publishes what the node has in force.
func (s *Server) observe() {
	gauge := func(name string, value func() float64) { s.set.GetOrCreateGauge("yuccarock_"+name, value) }
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
