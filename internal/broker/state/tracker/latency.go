package tracker

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// One significant digit bounds the error of a quantile to 7%, in 3 KB per histogram.
	significantDigits = 1
	highestLatency    = time.Minute

	// minSamples is the fewest observations that a quantile is computed from.
	minSamples = 20
	// publishEvery spreads the cost of computing quantiles over this number of observations.
	publishEvery = 16
	// A window ends after windowSamples, or after windowTime if it has minSamples by then.
	windowSamples = 1024
	windowTime    = 10 * time.Second
)

// estimates holds computed quantiles; the values change in place.
type estimates struct {
	quantiles []float64
	values    []atomic.Int64 // nanoseconds, zero while there are too few observations
}

// Latency estimates quantiles of the latency of one shard over the last two windows of observations.
type Latency struct {
	estimates atomic.Pointer[estimates]

	mu      sync.Mutex
	window  *hdrhistogram.Histogram // observations of the present window
	both    *hdrhistogram.Histogram // observations of the present and the previous window
	started time.Time
	pending int
}

func newLatency(quantiles []float64) *Latency {
	l := &Latency{}
	l.setQuantiles(quantiles)
	return l
}

// setQuantiles changes which quantiles are estimated and keeps the observations.
func (l *Latency) setQuantiles(quantiles []float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if held := l.estimates.Load(); held != nil && slices.Equal(held.quantiles, quantiles) {
		return
	}
	next := &estimates{quantiles: quantiles, values: make([]atomic.Int64, len(quantiles))}
	l.compute(next)
	l.estimates.Store(next)
}

// Quantile returns an estimate, or zero where the quantile is not tracked or has too few observations.
func (l *Latency) Quantile(quantile float64) time.Duration {
	held := l.estimates.Load()
	for i, q := range held.quantiles {
		if q == quantile {
			return time.Duration(held.values[i].Load())
		}
	}
	return 0
}

// Record adds one observed latency.
func (l *Latency) Record(now time.Time, latency time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.window == nil {
		l.window = hdrhistogram.New(1, highestLatency.Microseconds(), significantDigits)
		l.both = hdrhistogram.New(1, highestLatency.Microseconds(), significantDigits)
		l.started = now
	}
	value := min(max(latency, time.Microsecond), highestLatency).Microseconds()
	// The value lies within the range of the histogram, so that recording cannot fail.
	_ = l.window.RecordValue(value)
	_ = l.both.RecordValue(value)
	l.pending++
	if l.windowEnded(now) {
		l.both.Reset()
		l.both.Merge(l.window)
		l.window.Reset()
		l.started = now
	}
	if l.pending >= publishEvery {
		l.pending = 0
		l.compute(l.estimates.Load())
	}
}

func (l *Latency) windowEnded(now time.Time) bool {
	samples := l.window.TotalCount()
	return samples >= windowSamples || samples >= minSamples && now.Sub(l.started) >= windowTime
}

func (l *Latency) compute(held *estimates) {
	if l.both == nil || l.both.TotalCount() < minSamples {
		return
	}
	for i, quantile := range held.quantiles {
		value := l.both.ValueAtPercentile(quantile * 100)
		held.values[i].Store(int64(time.Duration(value) * time.Microsecond))
	}
}
