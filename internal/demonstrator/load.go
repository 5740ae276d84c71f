package demonstrator

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"github.com/yuccarock/yuccarock/internal/standin/testbed"
	"github.com/yuccarock/yuccarock/pkg/caller"
)

const (
	histogramMin    = 1
	histogramMax    = 30_000_000 // microseconds
	histogramDigits = 3          // significant
)

// phaseStats holds the results of the queries that began in one phase.
type phaseStats struct {
	name      string
	begin     time.Time
	latency   *hdrhistogram.Histogram // microseconds
	queries   int
	complete  int
	partial   int
	refused   int
	unknown   int
	errors    int
	shards    int // total over all answers
	answered  int // of these shards
	lastError string
	missing   map[string]int // number of missing shards by reason
}

// load sends queries through the caller client until it is stopped, and checks each search answer.
type load struct {
	testbed.Load
	system *testbed.System

	mu         sync.Mutex
	phases     []*phaseStats
	violations []error
}

func newLoad(client *caller.Client, system *testbed.System) *load {
	l := &load{system: system}
	l.Load = testbed.Load{
		Client: client, Callers: callers, Interval: callInterval, ReportEvery: reportInterval, OnResult: l.record,
	}
	l.startPhase("start")
	return l
}

// startPhase starts a phase; queries that begin from now on are counted in it.
func (l *load) startPhase(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.phases = append(l.phases, &phaseStats{
		name: name, begin: time.Now(), latency: hdrhistogram.New(histogramMin, histogramMax, histogramDigits),
		missing: make(map[string]int),
	})
}

// violationError returns an error with the number of incorrect answers and the first of them, or nil if there were none.
func (l *load) violationError() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.violations) == 0 {
		return nil
	}
	return errors.Wrapf(l.violations[0], "%d incorrect answers, the first", len(l.violations))
}

// record checks a result and counts it in the phase in which its query began.
func (l *load) record(result testbed.Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	stats := l.phases[0]
	for _, phase := range l.phases {
		if !result.Start.Before(phase.begin) {
			stats = phase
		}
	}
	if result.Err == nil && result.Query.Kind == testbed.SearchKind {
		if err := l.system.CheckSearch(&result.Query, &result.Answer); err != nil {
			l.violations = append(l.violations, err)
		}
	}
	stats.add(&result.Answer, result.Err, result.Elapsed)
}

func (stats *phaseStats) add(answer *caller.Answer, err error, elapsed time.Duration) {
	stats.queries++
	if err != nil {
		stats.errors++
		stats.lastError = err.Error()
		return
	}
	stats.shards += answer.Coverage.ShardsTotal
	stats.answered += answer.Coverage.ShardsAnswered
	for _, shard := range answer.Coverage.Missing {
		stats.missing[shard.Reason]++
	}
	switch answer.Status {
	case caller.StatusComplete:
		stats.complete++
	case caller.StatusPartial:
		stats.partial++
	case caller.StatusOutcomeUnknown:
		stats.unknown++
		stats.lastError = string(answer.Status) + ": " + answer.Reason
	default:
		stats.refused++
		stats.lastError = string(answer.Status) + ": " + answer.Reason
	}
	// Values outside the range of the histogram are clamped to it.
	_ = stats.latency.RecordValue(min(max(elapsed.Microseconds(), histogramMin), histogramMax))
}
