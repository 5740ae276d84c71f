package demonstrator

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
)

// report holds what the steps measured.
type report struct {
	inForce     []time.Duration
	zoneOutLast time.Duration
	crashes     int
}

// checkBackends checks the limits that every stand-in has recorded over the whole run.
func (s *System) checkBackends() error {
	for _, spec := range s.specs {
		record := s.backends[spec.name].Record()
		limits := []struct {
			what      string
			got, want int
		}{
			{"requests at once", record.MaxConcurrency, slots},
			{"requests at once in a cold start", record.MaxColdConcurrency, coldLimit},
			{"connections", record.MaxConnections, connections},
		}
		for _, limit := range limits {
			if limit.got > limit.want {
				return &Error{
					Op: "keep the limits of " + string(spec.name), Kind: KindViolation,
					Err: errors.Errorf("%s: got %d, want at most %d", limit.what, limit.got, limit.want),
				}
			}
		}
	}
	return nil
}

// counter adds up one counter of all nodes that still run.
func (s *System) counter(name string) int {
	total := 0
	for _, n := range s.nodes {
		total += readCounter(n.metrics, name)
	}
	return total
}

func readCounter(set *metrics.Set, name string) int {
	var text bytes.Buffer
	set.WritePrometheus(&text)
	for line := range strings.Lines(text.String()) {
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), name+" "); ok {
			number, err := strconv.Atoi(value)
			if err == nil {
				return number
			}
		}
	}
	return 0
}

func (s *System) printSummary(elapsed time.Duration) {
	out := s.Out
	_, _ = fmt.Fprintln(out)
	if s.load != nil {
		s.printPhases()
	}
	sent := s.counter("yuccarock_sub_requests_total")
	extra := s.counter("yuccarock_hedges_total") + s.counter("yuccarock_retries_total")
	_, _ = fmt.Fprintf(out, "\nextra load on backend servers: %d of %d sub-requests (%.2f%%) were hedges or retries\n",
		extra, sent, percent(extra, sent))
	_, _ = fmt.Fprintf(out, "zone b: last request %.2f s after the submission (limit %s)\n",
		s.report.zoneOutLast.Seconds(), zoneOutLimit)
	var worst time.Duration
	for _, duration := range s.report.inForce {
		worst = max(worst, duration)
	}
	_, _ = fmt.Fprintf(out, "configuration in force everywhere: worst %.3f s of %d changes (limit %s)\n",
		worst.Seconds(), len(s.report.inForce), inForceLimit)
	_, _ = fmt.Fprintf(out, "crashing request: took down %d servers (limit %d)\n", s.report.crashes, maxCrashes)
	_, _ = fmt.Fprintf(out, "ran for %.1f s\n", elapsed.Seconds())
}

func (s *System) printPhases() {
	table := tabwriter.NewWriter(s.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "phase\tqueries\tcomplete\tpartial\trefused\tunknown\terrors\tcoverage %\tp50 ms\tp99 ms\tmax ms\t")
	s.load.mu.Lock()
	defer s.load.mu.Unlock()
	for _, phase := range s.load.phases {
		if phase.queries == 0 {
			continue
		}
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.1f\t%.1f\t%.1f\t\n", phase.name, phase.queries,
			phase.complete, phase.partial, phase.refused, phase.unknown, phase.errors,
			percent(phase.answered, phase.shards), quantile(phase, 50), quantile(phase, 99), quantile(phase, 100))
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

func quantile(phase *phaseStats, q float64) float64 {
	return float64(phase.latency.ValueAtQuantile(q)) / float64(time.Millisecond/time.Microsecond)
}

func percent(part, total int) float64 {
	if total == 0 {
		return 0
	}
	return 100 * float64(part) / float64(total)
}
