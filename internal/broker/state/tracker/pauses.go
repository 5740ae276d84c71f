package tracker

import (
	"slices"
	"sync"
	"time"
)

const (
	// An answer that took more than pauseFactor times the typical latency plus pauseMargin is attributed to a pause of the
	// server rather than to a long request.
	pauseFactor = 4
	pauseMargin = 20 * time.Millisecond
	// Slow answers within samePauseWindow of a pause are attributed to that pause.
	samePauseWindow = 200 * time.Millisecond
	// minPeriod and maxPeriod bound the intervals between pauses that are taken into account.
	minPeriod = 500 * time.Millisecond
	maxPeriod = time.Minute
	// periodTolerance is the largest difference between two intervals that count as equal.
	periodTolerance = 50 * time.Millisecond
	// The common period of all servers is found once minEqualIntervals of the last maxIntervals intervals are equal.
	maxIntervals      = 48
	minEqualIntervals = 4
	// maxUnseenPeriods is how many periods a prediction stays valid without an observed pause. Requests avoid predicted
	// pauses, so pauses are seldom observed. After as many consecutive mispredictions the common period is discarded.
	maxUnseenPeriods = 12
	// maxPause bounds the predicted length of a pause.
	maxPause = 500 * time.Millisecond
	// The predicted length is the lengthQuantile of the last maxLengths observed ones; most requests wait for only a part
	// of a pause.
	maxLengths     = 64
	lengthQuantile = 0.9
	// One observation moves the common period by 1/refineDivisor of the difference.
	refineDivisor = 8
)

// periodEstimator estimates the period and length of pauses that all servers have in common, for example of garbage
// collections or flushes at a fixed interval. The servers pause at different times.
type periodEstimator struct {
	mu        sync.Mutex
	intervals []time.Duration
	period    time.Duration // zero while unknown
	lengths   []time.Duration
	length    time.Duration // quantile of lengths
}

// addInterval adds the interval between two pauses of one server.
func (e *periodEstimator) addInterval(interval time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.intervals) == maxIntervals {
		e.intervals = slices.Delete(e.intervals, 0, 1)
	}
	e.intervals = append(e.intervals, interval)
	var sum time.Duration
	count := 0
	for _, other := range e.intervals {
		if withinTolerance(other, interval) {
			sum += other
			count++
		}
	}
	if e.period == 0 && count >= minEqualIntervals {
		e.period = sum / time.Duration(count)
	}
}

// refine moves the common period towards period, which the caller averaged over several periods and which is therefore
// more exact than one interval.
func (e *periodEstimator) refine(period time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.period += (period - e.period) / refineDivisor
}

// reset discards the common period after too many mispredictions.
func (e *periodEstimator) reset() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.period, e.intervals = 0, nil
}

// addLength adds the latency of a request that a pause delayed.
func (e *periodEstimator) addLength(length time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.lengths) == maxLengths {
		e.lengths = slices.Delete(e.lengths, 0, 1)
	}
	e.lengths = append(e.lengths, min(length, maxPause))
	sorted := slices.Sorted(slices.Values(e.lengths))
	e.length = sorted[int(float64(len(sorted)-1)*lengthQuantile)]
}

// estimate returns the common period and length of pauses, zero while unknown.
func (e *periodEstimator) estimate() (period, length time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.period, e.length
}

func withinTolerance(a, b time.Duration) bool { return (a - b).Abs() <= periodTolerance }

// pausePredictor predicts the pauses of one server.
type pausePredictor struct {
	estimator    *periodEstimator
	lastEnd      time.Time // of the last pause that matched the common period
	mispredicted int       // consecutive slow answers that did not match the common period
}

// observe records an answer that was probably delayed by a pause.
func (p *pausePredictor) observe(now time.Time, latency time.Duration) {
	interval := now.Sub(p.lastEnd)
	if !p.lastEnd.IsZero() && interval < samePauseWindow {
		return
	}
	period, _ := p.estimator.estimate()
	if !p.lastEnd.IsZero() && interval >= minPeriod && interval <= maxPeriod {
		p.estimator.addInterval(interval)
	}
	if period > 0 && !p.lastEnd.IsZero() && p.mispredicted < maxUnseenPeriods {
		periods := (interval + period/2) / period
		if periods < 1 || !withinTolerance(interval/periods, period) {
			p.mispredicted++ // probably a long request; the period is kept until this happens often
			return
		}
		p.estimator.refine(interval / periods)
		p.estimator.addLength(latency)
	}
	if p.mispredicted >= maxUnseenPeriods {
		p.estimator.reset()
	}
	p.lastEnd, p.mispredicted = now, 0
}

// expectedWait returns how long a request sent now would wait for the end of a predicted pause, or zero if it would be
// answered before the pause begins.
func (p *pausePredictor) expectedWait(now time.Time, typical time.Duration) time.Duration {
	period, length := p.estimator.estimate()
	if period == 0 || p.lastEnd.IsZero() || length == 0 {
		return 0
	}
	since := now.Sub(p.lastEnd)
	if since > (maxUnseenPeriods+1)*period {
		return 0
	}
	if next := period - since%period; next <= length+typical {
		return next
	}
	return 0
}
