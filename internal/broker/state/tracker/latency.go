package tracker

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// One significant digit limits the error of a quantile to 7% and a histogram to 3 KB.
	significantDigits = 1
	highestLatency    = time.Minute

	// minSamples is the minimum number of observations for a quantile.
	minSamples = 20
	// publishInterval is the number of observations between two computations of the quantiles, to spread their cost.
	publishInterval = 16
	// A window ends after windowSamples, or after windowTime if it has minSamples by then.
	windowSamples = 1024
	windowTime    = 10 * time.Second
)

// quantileEstimates holds computed quantiles; the values are updated in place.
type quantileEstimates struct {
	quantiles []float64
	values    []atomic.Int64 // nanoseconds, zero while there are too few observations
}

// Latency estimates quantiles of the latency of one shard over the last two windows of observations.
type Latency struct {
	estimates atomic.Pointer[quantileEstimates]

	mu       sync.Mutex
	window   *hdrhistogram.Histogram // observations of the present window
	combined *hdrhistogram.Histogram // observations of the present and the previous window
	started  time.Time
	pending  int // observations since the last computation
}

func newLatency(quantiles []float64) *Latency {
	l := &Latency{}
	l.setQuantiles(quantiles)
	return l
}

// setQuantiles sets which quantiles are estimated; it keeps the observations.
func (l *Latency) setQuantiles(quantiles []float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if current := l.estimates.Load(); current != nil && slices.Equal(current.quantiles, quantiles) {
		return
	}
	next := &quantileEstimates{quantiles: quantiles, values: make([]atomic.Int64, len(quantiles))}
	l.compute(next)
	l.estimates.Store(next)
}

// Quantile returns the estimate of a quantile, or zero if it is not tracked or has too few observations.
func (l *Latency) Quantile(quantile float64) time.Duration {
	current := l.estimates.Load()
	for i, q := range current.quantiles {
		if q == quantile {
			return time.Duration(current.values[i].Load())
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
		l.combined = hdrhistogram.New(1, highestLatency.Microseconds(), significantDigits)
		l.started = now
	}
	value := min(max(latency, time.Microsecond), highestLatency).Microseconds()
	// Recording cannot fail because the value lies within the range of the histogram.
	_ = l.window.RecordValue(value)
	_ = l.combined.RecordValue(value)
	l.pending++
	if l.windowEnded(now) {
		l.combined.Reset()
		l.combined.Merge(l.window)
		l.window.Reset()
		l.started = now
	}
	if l.pending >= publishInterval {
		l.pending = 0
		l.compute(l.estimates.Load())
	}
}

func (l *Latency) windowEnded(now time.Time) bool {
	samples := l.window.TotalCount()
	return samples >= windowSamples || samples >= minSamples && now.Sub(l.started) >= windowTime
}

func (l *Latency) compute(current *quantileEstimates) {
	if l.combined == nil || l.combined.TotalCount() < minSamples {
		return
	}
	for i, quantile := range current.quantiles {
		value := l.combined.ValueAtPercentile(quantile * 100)
		current.values[i].Store(int64(time.Duration(value) * time.Microsecond))
	}
}
