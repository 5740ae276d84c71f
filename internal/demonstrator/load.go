package demonstrator

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"

	"github.com/yuccarock/yuccarock/pkg/caller"
)

const (
	histogramMin    = 1
	histogramMax    = 30_000_000 // microseconds
	histogramDigits = 3
)

// phaseStats are the results of the queries that began in one phase.
type phaseStats struct {
	name      string
	latency   *hdrhistogram.Histogram // microseconds
	queries   int
	complete  int
	partial   int
	refused   int
	unknown   int
	errors    int
	shards    int
	answered  int
	lastError string
	missing   map[string]int // shards missing by reason
}

// load sends queries through the caller's client until it is stopped and checks each answer.
type load struct {
	client  *caller.Client
	checker *checker
	number  atomic.Uint64

	mu     sync.Mutex
	phases []*phaseStats
}

func newLoad(client *caller.Client, check *checker) *load {
	l := &load{client: client, checker: check}
	l.phase("start")
	return l
}

// phase makes the queries that begin from now on count separately.
func (l *load) phase(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.phases = append(l.phases, &phaseStats{
		name: name, latency: hdrhistogram.New(histogramMin, histogramMax, histogramDigits),
		missing: make(map[string]int),
	})
}

func (l *load) current() *phaseStats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.phases[len(l.phases)-1]
}

// run returns after ctx ends and all queries have their answer.
func (l *load) run(ctx context.Context) {
	var running sync.WaitGroup
	for range callers {
		running.Go(func() {
			ticker := time.NewTicker(callInterval)
			defer ticker.Stop()
			for {
				select {
				case <-ctx.Done():
					return
				case <-ticker.C:
					l.one(context.WithoutCancel(ctx))
				}
			}
		})
	}
	running.Wait()
}

func (l *load) one(ctx context.Context) {
	number := l.number.Add(1)
	query := caller.Query{
		RequestID: uuid.Must(uuid.NewV7()).String(),
		Kind:      searchKind, Limit: queryLimit, Body: body(number), Timeout: 2 * time.Second,
	}
	if number%intakeEvery == 0 {
		query.Kind, query.Key = intakeKind, fmt.Sprintf("site-%d", number)
	}
	stats := l.current()
	start := time.Now()
	answer, err := l.client.Query(ctx, query)
	elapsed := time.Since(start)
	if err == nil && query.Kind == searchKind {
		l.checker.checkSearch(&query, &answer)
	}
	l.record(stats, &answer, err, elapsed)
}

func (l *load) record(stats *phaseStats, answer *caller.Answer, err error, elapsed time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
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
	// Values above the range are recorded as the largest one.
	_ = stats.latency.RecordValue(min(max(elapsed.Microseconds(), histogramMin), histogramMax))
}
