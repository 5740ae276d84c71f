package owner

import "github.com/VictoriaMetrics/metrics"

// counters are the metrics of this package.
type counters struct {
	answered, notRun, unknown, failed       *metrics.Counter
	repeated, crashes, cleared, quarantined *metrics.Counter
	duplicates                              *metrics.Counter
}

func newCounters(set *metrics.Set) *counters {
	attempts := func(outcome string) *metrics.Counter {
		return set.GetOrCreateCounter(`yuccarock_owner_attempts_total{outcome="` + outcome + `"}`)
	}
	return &counters{
		answered:    attempts("answered"),
		notRun:      attempts("notRun"),
		unknown:     attempts("outcomeUnknown"),
		failed:      attempts("failed"),
		repeated:    set.GetOrCreateCounter("yuccarock_owner_silent_attempts_repeated_total"),
		crashes:     set.GetOrCreateCounter("yuccarock_owner_server_crashes_total"),
		cleared:     set.GetOrCreateCounter("yuccarock_owner_suspects_cleared_total"),
		quarantined: set.GetOrCreateCounter("yuccarock_owner_requests_quarantined_total"),
		duplicates:  set.GetOrCreateCounter("yuccarock_owner_duplicate_attempts_total"),
	}
}
