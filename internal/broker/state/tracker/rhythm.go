package tracker

import (
	"slices"
	"sync"
	"time"
)

const (
	// pauseFactor of the typical latency plus pauseMargin is the latency from which an answer shows that the server paused
	// and not that its work was long.
	pauseFactor = 4
	pauseMargin = 20 * time.Millisecond
	// samePause is how close the answers are that one pause held up.
	samePause = 200 * time.Millisecond
	// minPeriod and maxPeriod bound the periods that are learned.
	minPeriod = 500 * time.Millisecond
	maxPeriod = time.Minute
	// periodTolerance is how far two intervals between pauses of one period may differ.
	periodTolerance = 50 * time.Millisecond
	// keptIntervals are compared to find the common period of all servers; agreeingIntervals of them have to be equal.
	keptIntervals     = 48
	agreeingIntervals = 4
	// maxSkipped is how many periods without a pause that was seen a prediction holds. Requests avoid predicted pauses, so
	// that they are seen seldom.
	maxSkipped = 12
	// maxPause bounds the predicted length of a pause.
	maxPause = 500 * time.Millisecond
	// keptLengths of pauses, and the quantile of them that is expected, because most requests see only part of a pause.
	keptLengths    = 64
	lengthQuantile = 0.9
	// refineWeight is the share of one observation in the common period, as a divisor.
	refineWeight = 8
)

// rhythm finds the period that the pauses of the servers have in common, as when they collect garbage or flush at fixed
// intervals, each at a time of its own.
type rhythm struct {
	mu        sync.Mutex
	intervals []time.Duration
	period    time.Duration // zero while none is known
	lengths   []time.Duration
	length    time.Duration // quantile of lengths
}

// note takes the interval between two pauses of one server.
func (r *rhythm) note(interval time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.intervals) == keptIntervals {
		r.intervals = slices.Delete(r.intervals, 0, 1)
	}
	r.intervals = append(r.intervals, interval)
	var sum time.Duration
	count := 0
	for _, other := range r.intervals {
		if near(other, interval) {
			sum += other
			count++
		}
	}
	if r.period == 0 && count >= agreeingIntervals {
		r.period = sum / time.Duration(count)
	}
}

// refine moves the common period to what a pause after several periods shows, which is more exact than one interval.
func (r *rhythm) refine(period time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.period += (period - r.period) / refineWeight
}

// forget ends the common period, which no longer fits.
func (r *rhythm) forget() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.period, r.intervals = 0, nil
}

// measure takes how long a pause has held one request up.
func (r *rhythm) measure(length time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.lengths) == keptLengths {
		r.lengths = slices.Delete(r.lengths, 0, 1)
	}
	r.lengths = append(r.lengths, min(length, maxPause))
	sorted := slices.Sorted(slices.Values(r.lengths))
	r.length = sorted[int(float64(len(sorted)-1)*lengthQuantile)]
}

// common returns the common period and length of pauses, zero while they are not known.
func (r *rhythm) common() (period, length time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.period, r.length
}

func near(a, b time.Duration) bool { return (a - b).Abs() <= periodTolerance }

// pauses is what is known of the pauses of one server.
type pauses struct {
	rhythm *rhythm
	end    time.Time // of the last pause that fits
	missed int       // pauses in a row that were predicted and did not come, or came at another time
}

// observe takes an answer that a pause has held up.
func (p *pauses) observe(now time.Time, latency time.Duration) {
	interval := now.Sub(p.end)
	if !p.end.IsZero() && interval < samePause {
		return
	}
	period, _ := p.rhythm.common()
	if !p.end.IsZero() && interval >= minPeriod && interval <= maxPeriod {
		p.rhythm.note(interval)
	}
	if period > 0 && !p.end.IsZero() && p.missed < maxSkipped {
		periods := (interval + period/2) / period
		if periods < 1 || !near(interval/periods, period) {
			p.missed++ // a long request; the rhythm is kept until this happens often
			return
		}
		p.rhythm.refine(interval / periods)
		p.rhythm.measure(latency)
	}
	if p.missed >= maxSkipped {
		p.rhythm.forget()
	}
	p.end, p.missed = now, 0
}

// left returns how long a request that is sent now would wait for the end of a predicted pause; it counts the pause if
// the request would still run when it begins.
func (p *pauses) left(now time.Time, typical time.Duration) time.Duration {
	period, length := p.rhythm.common()
	if period == 0 || p.end.IsZero() || length == 0 {
		return 0
	}
	since := now.Sub(p.end)
	if since > (maxSkipped+1)*period {
		return 0
	}
	if next := period - since%period; next <= length+typical {
		return next
	}
	return 0
}
