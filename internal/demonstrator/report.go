package demonstrator

import (
	"fmt"
	"text/tabwriter"
	"time"
)

// measurements holds the figures that the steps measure.
type measurements struct {
	inForceTimes     []time.Duration // from each submission to in force at every node
	lastZoneArrival  time.Duration   // in zone b, since the submission that takes it out
	crashes          int
	subRequests      int // by the nodes running at the end
	extraSubRequests int // hedges and retries
}

func (s *System) printSummary(elapsed time.Duration) {
	out := s.Out
	_, _ = fmt.Fprintln(out)
	if s.load != nil {
		s.printPhases()
	}
	_, _ = fmt.Fprintf(out, "\nextra load on backend servers: %d of %d sub-requests (%.2f%%) were hedges or retries\n",
		s.measured.extraSubRequests, s.measured.subRequests, percent(s.measured.extraSubRequests, s.measured.subRequests))
	_, _ = fmt.Fprintf(out, "zone b: last request %.2f s after the submission (limit %s)\n",
		s.measured.lastZoneArrival.Seconds(), zoneOutLimit)
	var worst time.Duration
	for _, duration := range s.measured.inForceTimes {
		worst = max(worst, duration)
	}
	_, _ = fmt.Fprintf(out, "configuration in force everywhere: worst %.3f s of %d changes (limit %s)\n",
		worst.Seconds(), len(s.measured.inForceTimes), inForceLimit)
	_, _ = fmt.Fprintf(out, "crashing request: took down %d servers (limit %d)\n", s.measured.crashes, crashLimit)
	_, _ = fmt.Fprintf(out, "ran for %.1f s\n", elapsed.Seconds())
}

func (s *System) printPhases() {
	table := tabwriter.NewWriter(s.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "phase\tqueries\tcomplete\tpartial\trefused\tunknown\terrors\t"+
		"coverage %\tp50 ms\tp99 ms\tmax ms\t")
	s.load.mu.Lock()
	defer s.load.mu.Unlock()
	for _, phase := range s.load.phases {
		if phase.queries == 0 {
			continue
		}
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.1f\t%.1f\t%.1f\t\n", phase.name, phase.queries,
			phase.complete, phase.partial, phase.refused, phase.unknown, phase.errors,
			percent(phase.answered, phase.shards), percentile(phase, 50), percentile(phase, 99), percentile(phase, 100))
	}
	_ = table.Flush()
	for _, phase := range s.load.phases {
		if len(phase.missing) > 0 {
			_, _ = fmt.Fprintf(s.Out, "shards missing in phase %q by reason: %v\n", phase.name, phase.missing)
		}
		if phase.lastError != "" {
			_, _ = fmt.Fprintf(s.Out, "last refusal or error in phase %q: %s\n", phase.name, phase.lastError)
		}
	}
}

// percentile returns a percentile of the latency in milliseconds.
func percentile(phase *phaseStats, p float64) float64 {
	return float64(phase.latency.ValueAtQuantile(p)) / float64(time.Millisecond/time.Microsecond)
}

func percent(part, total int) float64 {
	if total == 0 {
		return 0
	}
	return 100 * float64(part) / float64(total)
}
