package admitter

import "time"

const (
	// meanDivisor gives a new latency the weight 1/meanDivisor in the moving averages.
	meanDivisor = 16
	// maxSampleRatio caps a latency at this multiple of the mean, so that a single straggler at 20 times the median
	// does not make the whole queue seem late.
	maxSampleRatio = 4
	// slowFactor is the multiple of the warm latency above which an answer counts as a sign of a cold start.
	slowFactor = 5
	// driftDivisor lets the warm latency of a permanently slower server adapt within some tens of answers.
	driftDivisor = 256
	// minSlowLatency prevents timer noise on sub-millisecond servers from counting as a cold start.
	minSlowLatency = 5 * time.Millisecond
	// maxKinds limits the request kinds kept, to bound memory; configurations have a handful for each server.
	maxKinds = 64
)

// estimate holds the latency statistics of a server.
type estimate struct {
	mean      time.Duration
	deviation time.Duration
	// warmLatencies holds the mean latency of each request kind while the server is warm, to detect a cold start.
	warmLatencies map[string]time.Duration
}

// typicalMax returns the latency that most requests stay below.
func (e *estimate) typicalMax() time.Duration { return e.mean + e.deviation }

func (e *estimate) add(latency time.Duration) {
	if e.mean == 0 {
		e.mean, e.deviation = latency, latency/2
		return
	}
	latency = min(latency, maxSampleRatio*e.mean)
	e.deviation += ((latency - e.mean).Abs() - e.deviation) / meanDivisor
	e.mean += (latency - e.mean) / meanDivisor
}

// isSlow returns whether a latency is far above the server's warm latency for the kind.
func (e *estimate) isSlow(kind string, latency time.Duration) bool {
	if latency <= minSlowLatency {
		return false
	}
	warm := e.warmLatencies[kind]
	return warm > 0 && latency > slowFactor*warm
}

func (e *estimate) addWarm(kind string, latency time.Duration) {
	warm, known := e.warmLatencies[kind]
	switch {
	case known:
		e.warmLatencies[kind] = warm + (latency-warm)/meanDivisor
	case len(e.warmLatencies) < maxKinds:
		e.warmLatencies[kind] = latency
	}
}

// driftWarm moves the warm latency slightly towards a slow latency.
func (e *estimate) driftWarm(kind string, latency time.Duration) {
	e.warmLatencies[kind] += (latency - e.warmLatencies[kind]) / driftDivisor
}
