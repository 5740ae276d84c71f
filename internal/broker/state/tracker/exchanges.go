package tracker

import (
	"net/netip"
	"slices"
	"sync"
	"time"
)

const (
	// defaultLatency is assumed for a server before its first answer.
	defaultLatency = 10 * time.Millisecond
	// A latency counts as at most maxLatencyFactor times the moving average, so that a short pause does not make a server
	// look slow.
	maxLatencyFactor = 3
	// idleHalfLife is the half-life of the averages of a server that gets no requests, so that a recovered server is tried
	// again.
	idleHalfLife = time.Second
	// A request without an answer after overdueFactor times the typical latency plus overdueMargin indicates a pause.
	overdueFactor = 2
	overdueMargin = 8 * time.Millisecond
	// minAvoidTime and maxAvoidTime bound how long a server is avoided after consecutive failures.
	minAvoidTime = 50 * time.Millisecond
	maxAvoidTime = 2 * time.Second
	// avoidPenalty is added to the expected latency of a server that is avoided.
	avoidPenalty = time.Second
	// failureWeight is the weight of one outcome in the moving failure rate. The expected latency of a server grows by
	// failureFactor times its failure rate.
	failureWeight = 0.2
	failureFactor = 12.0
	// coldLatencyFactor multiplies the expected latency of a server that has just started.
	coldLatencyFactor = 1.6
)

// exchangeStats summarizes the exchanges of this host with one server.
type exchangeStats struct {
	mu                  sync.Mutex
	inFlight            []time.Time // start times, oldest first
	averageLatency      time.Duration
	lastAnsweredAt      time.Time
	failureRate         float64   // moving average, 0 to 1
	lastEndedAt         time.Time // by an answer or a failure
	consecutiveFailures int
	avoidUntil          time.Time
	reassignedAddress   netip.AddrPort // registered address at which another server answered
	pauses              pausePredictor

	coldUntil      time.Time
	coldRate       float64 // requests per second from this host while cold, zero for no limit
	coldRefilledAt time.Time
	coldTokens     float64 // at most 1
}

// SetCold sets until when the server is cold and how many requests per second this host may send it until then; zero
// means no limit.
func (s *Server) SetCold(until time.Time, rate float64) {
	s.exchanges.mu.Lock()
	defer s.exchanges.mu.Unlock()
	s.exchanges.coldUntil, s.exchanges.coldRate = until, rate
}

// RateLimited reports whether the server is cold and accepts only a limited request rate.
func (s *Server) RateLimited(now time.Time) bool {
	s.exchanges.mu.Lock()
	defer s.exchanges.mu.Unlock()
	return s.exchanges.coldRate > 0 && now.Before(s.exchanges.coldUntil)
}

// TakeColdToken reports whether this host may send one more request to the server now. If the server is cold, the
// request counts against its rate.
func (s *Server) TakeColdToken(now time.Time) bool {
	st := &s.exchanges
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.coldRate == 0 || !now.Before(st.coldUntil) {
		return true
	}
	if st.coldRefilledAt.IsZero() {
		st.coldTokens = 1
	} else {
		st.coldTokens = min(1, st.coldTokens+st.coldRate*now.Sub(st.coldRefilledAt).Seconds())
	}
	st.coldRefilledAt = now
	if st.coldTokens < 1 {
		return false
	}
	st.coldTokens--
	return true
}

// ExchangeStarted counts an exchange as in flight until ExchangeEnded or ExchangeDiscarded is called with the same
// time.
func (s *Server) ExchangeStarted(at time.Time) {
	s.exchanges.mu.Lock()
	defer s.exchanges.mu.Unlock()
	s.exchanges.inFlight = append(s.exchanges.inFlight, at)
}

// ExchangeEnded records that an exchange ended with an answer, or with a failure of the server if failed is set.
func (s *Server) ExchangeEnded(sent, now time.Time, failed bool) {
	st := &s.exchanges
	st.mu.Lock()
	defer st.mu.Unlock()
	st.removeInFlight(sent)
	if failed {
		st.recordFailure(now)
		return
	}
	st.consecutiveFailures, st.avoidUntil = 0, time.Time{}
	rate := st.decayedFailureRate(now)
	st.failureRate, st.lastEndedAt = rate-rate*failureWeight, now
	latency := now.Sub(sent)
	if typical := st.decayedLatency(now); st.averageLatency > 0 && latency > pauseFactor*typical+pauseMargin {
		st.pauses.observe(now, latency)
	}
	if st.averageLatency == 0 {
		st.averageLatency = latency
	} else {
		average := st.decayedLatency(now)
		st.averageLatency = average + (min(latency, average*maxLatencyFactor)-average)/latencyDivisor
	}
	st.lastAnsweredAt = now
}

// ExchangeDiscarded ends an exchange that says nothing about the server.
func (s *Server) ExchangeDiscarded(sent time.Time) {
	s.exchanges.mu.Lock()
	defer s.exchanges.mu.Unlock()
	s.exchanges.removeInFlight(sent)
}

// MarkReassigned records that another server answered at address, where this server is registered.
func (s *Server) MarkReassigned(address netip.AddrPort) {
	s.exchanges.mu.Lock()
	defer s.exchanges.mu.Unlock()
	s.exchanges.reassignedAddress = address
}

// Reassigned reports whether another server answered at address, where this server is still registered. Requests sent
// there would add to the load of the other server.
func (s *Server) Reassigned(address netip.AddrPort) bool {
	s.exchanges.mu.Lock()
	defer s.exchanges.mu.Unlock()
	return address.IsValid() && s.exchanges.reassignedAddress == address
}

// ExpectedLatency estimates how long the server takes for one more request, from its typical latency, the requests of
// this host in flight, overdue answers, predicted pauses and recent failures.
func (s *Server) ExpectedLatency(now time.Time, slots int) time.Duration {
	st := &s.exchanges
	st.mu.Lock()
	defer st.mu.Unlock()
	typical := st.decayedLatency(now)
	expected := typical
	if inFlight := len(st.inFlight); inFlight > 0 {
		expected += typical * time.Duration(inFlight) / time.Duration(max(slots, 1))
		if age := now.Sub(st.inFlight[0]); age > overdueFactor*typical+overdueMargin {
			expected += age
		}
	}
	expected += st.pauses.expectedWait(now, typical)
	if now.Before(st.coldUntil) {
		expected = time.Duration(float64(expected) * coldLatencyFactor)
	}
	expected += time.Duration(float64(expected) * st.decayedFailureRate(now) * failureFactor)
	if now.Before(st.avoidUntil) {
		expected += avoidPenalty
	}
	return expected
}

// decayedLatency returns the average latency, which decays to defaultLatency while there are no answers.
func (st *exchangeStats) decayedLatency(now time.Time) time.Duration {
	if st.averageLatency == 0 {
		return defaultLatency
	}
	idle := now.Sub(st.lastAnsweredAt)
	if idle < idleHalfLife || st.averageLatency <= defaultLatency {
		return st.averageLatency
	}
	halvings := min(int(idle/idleHalfLife), 16)
	return max(st.averageLatency>>halvings, defaultLatency)
}

// decayedFailureRate returns the failure rate, which decays while the server gets no requests.
func (st *exchangeStats) decayedFailureRate(now time.Time) float64 {
	idle := now.Sub(st.lastEndedAt)
	if st.failureRate == 0 || idle < idleHalfLife {
		return st.failureRate
	}
	return st.failureRate / float64(uint(1)<<min(int(idle/idleHalfLife), 16))
}

func (st *exchangeStats) recordFailure(now time.Time) {
	rate := st.decayedFailureRate(now)
	st.failureRate, st.lastEndedAt = rate+(1-rate)*failureWeight, now
	st.consecutiveFailures++
	if st.consecutiveFailures == 1 {
		return // a single failure only affects the failure rate
	}
	pause := min(minAvoidTime<<min(st.consecutiveFailures, 10), maxAvoidTime)
	if until := now.Add(pause); until.After(st.avoidUntil) {
		st.avoidUntil = until
	}
}

func (st *exchangeStats) removeInFlight(sent time.Time) {
	if i := slices.Index(st.inFlight, sent); i >= 0 {
		st.inFlight = slices.Delete(st.inFlight, i, i+1)
	}
}
