package admitter

import "time"

const (
	// meanShare is the weight of a new latency as one over this number.
	meanShare = 16
	// sampleClamp bounds one latency to this multiple of the mean, so that a single straggler at 20 times the median
	// does not make the queue look full.
	sampleClamp = 4
	// slowFactor is how far above the server's own warm latency an answer has to be to count as a sign of a cold
	// start.
	slowFactor = 5
	// driftShare lets a server that stays slow for good get a new warm latency after some tens of answers.
	driftShare = 256
	// slowFloor keeps timer noise on sub-millisecond servers from looking like a cold start.
	slowFloor = 5 * time.Millisecond
	// kindLimit bounds the memory for kinds; configurations have a handful for each server.
	kindLimit = 64
)

// estimate holds what is known of the latency of a server.
type estimate struct {
	mean      time.Duration
	deviation time.Duration
	// warm holds the latency of each kind of request while warm, the measure for a cold start.
	warm map[string]time.Duration
}

// run returns how long a request is expected to take at most in the common case.
func (e *estimate) run() time.Duration { return e.mean + e.deviation }

func (e *estimate) add(latency time.Duration) {
	if e.mean == 0 {
		e.mean, e.deviation = latency, latency/2
		return
	}
	latency = min(latency, sampleClamp*e.mean)
	e.deviation += ((latency - e.mean).Abs() - e.deviation) / meanShare
	e.mean += (latency - e.mean) / meanShare
}

// slow returns whether a latency is far above the server's own warm latency.
func (e *estimate) slow(kind string, latency time.Duration) bool {
	if latency <= slowFloor {
		return false
	}
	warm := e.warm[kind]
	return warm > 0 && latency > slowFactor*warm
}

func (e *estimate) addWarm(kind string, latency time.Duration) {
	warm, known := e.warm[kind]
	switch {
	case known:
		e.warm[kind] = warm + (latency-warm)/meanShare
	case len(e.warm) < kindLimit:
		e.warm[kind] = latency
	}
}

// drift moves the warm latency a little towards a slow one.
func (e *estimate) drift(kind string, latency time.Duration) {
	e.warm[kind] += (latency - e.warm[kind]) / driftShare
}
