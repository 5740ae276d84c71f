package tracker

import (
	"net/netip"
	"slices"
	"sync"
	"time"
)

const (
	// typicalLatency stands in for a server's latency before its first answer.
	typicalLatency = 10 * time.Millisecond
	// clipFactor bounds how far one answer moves the moving average, so that a short pause does not mark a server slow.
	clipFactor = 3
	// forgetAfter halves what is known of a server that gets no requests, so that one that recovered is tried again.
	forgetAfter = time.Second
	// suspectFactor of the typical latency plus suspectMargin is the age from which a request without an answer counts
	// as a sign of a pause.
	suspectFactor = 2
	suspectMargin = 8 * time.Millisecond
	// minAvoid and maxAvoid bound how long a server is avoided after failures in a row.
	minAvoid = 50 * time.Millisecond
	maxAvoid = 2 * time.Second
	// avoidCost is added to the expected time of a server that is avoided.
	avoidCost = time.Second
	// errorWeight is the share of one outcome in the moving average of failures, and errorCost the factor by which a
	// server that always fails counts as slower.
	errorWeight = 0.2
	errorCost   = 12.0
	// coldFactor is how much slower a server is expected to be that has just started.
	coldFactor = 1.6
)

// standing is what this host has seen of its own exchanges with a server.
type standing struct {
	mu         sync.Mutex
	started    []time.Time // of the exchanges in flight, oldest first
	average    time.Duration
	answeredAt time.Time
	errors     float64   // moving average of failures, 0 to 1
	endedAt    time.Time // when the last exchange ended with an answer or a failure
	failures   int       // in a row
	avoidUntil time.Time
	movedFrom  netip.AddrPort // address at which another server answered
	pauses     pauses

	coldUntil time.Time
	coldRate  float64 // requests a second from this host while cold, zero for no limit
	coldAt    time.Time
	coldLeft  float64
}

// SetCold takes until when the server is cold and how many requests a second this host may send it meanwhile; zero
// means no limit.
func (s *Server) SetCold(until time.Time, rate float64) {
	s.standing.mu.Lock()
	defer s.standing.mu.Unlock()
	s.standing.coldUntil, s.standing.coldRate = until, rate
}

// Limited returns whether the server is cold and bears only a limited rate.
func (s *Server) Limited(now time.Time) bool {
	s.standing.mu.Lock()
	defer s.standing.mu.Unlock()
	return s.standing.coldRate > 0 && now.Before(s.standing.coldUntil)
}

// TakeCold takes one request from this host's share of a cold server's rate and returns whether there was one.
func (s *Server) TakeCold(now time.Time) bool {
	st := &s.standing
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.coldRate == 0 || !now.Before(st.coldUntil) {
		return true
	}
	if st.coldAt.IsZero() {
		st.coldLeft = 1
	} else {
		st.coldLeft = min(1, st.coldLeft+st.coldRate*now.Sub(st.coldAt).Seconds())
	}
	st.coldAt = now
	if st.coldLeft < 1 {
		return false
	}
	st.coldLeft--
	return true
}

// Sent counts an exchange as in flight; Settled or Dropped follows with the same time.
func (s *Server) Sent(at time.Time) {
	s.standing.mu.Lock()
	defer s.standing.mu.Unlock()
	s.standing.started = append(s.standing.started, at)
}

// Settled ends an exchange with an answer of the server; failed is whether it was a failure of the server.
func (s *Server) Settled(sent, now time.Time, failed bool) {
	st := &s.standing
	st.mu.Lock()
	defer st.mu.Unlock()
	st.remove(sent)
	if failed {
		st.fail(now)
		return
	}
	st.failures, st.avoidUntil = 0, time.Time{}
	held := st.recallErrors(now)
	st.errors, st.endedAt = held-held*errorWeight, now
	latency := now.Sub(sent)
	if typical := st.recall(now); st.average > 0 && latency > pauseFactor*typical+pauseMargin {
		st.pauses.observe(now, latency)
	}
	if st.average == 0 {
		st.average = latency
	} else {
		average := st.recall(now)
		st.average = average + (min(latency, average*clipFactor)-average)/latencyWeight
	}
	st.answeredAt = now
}

// Dropped ends an exchange of which nothing can be said.
func (s *Server) Dropped(sent time.Time) {
	s.standing.mu.Lock()
	defer s.standing.mu.Unlock()
	s.standing.remove(sent)
}

// Moved records that another server answered at the server's address.
func (s *Server) Moved(address netip.AddrPort) {
	s.standing.mu.Lock()
	defer s.standing.mu.Unlock()
	s.standing.movedFrom = address
}

// Gone returns whether another server answered at the address that the server is still registered with. Requests sent
// there would count as load of that other server.
func (s *Server) Gone(address netip.AddrPort) bool {
	s.standing.mu.Lock()
	defer s.standing.mu.Unlock()
	return address.IsValid() && s.standing.movedFrom == address
}

// Expected estimates how long the server takes for one more request: its typical time, the queue that this host has put
// there, and what a request without an answer or failures in the recent past suggest.
func (s *Server) Expected(now time.Time, slots int) time.Duration {
	st := &s.standing
	st.mu.Lock()
	defer st.mu.Unlock()
	typical := st.recall(now)
	expected := typical
	if inFlight := len(st.started); inFlight > 0 {
		expected += typical * time.Duration(inFlight) / time.Duration(max(slots, 1))
		if age := now.Sub(st.started[0]); age > suspectFactor*typical+suspectMargin {
			expected += age
		}
	}
	expected += st.pauses.left(now, typical)
	if now.Before(st.coldUntil) {
		expected = time.Duration(float64(expected) * coldFactor)
	}
	expected += time.Duration(float64(expected) * st.recallErrors(now) * errorCost)
	if now.Before(st.avoidUntil) {
		expected += avoidCost
	}
	return expected
}

// recall returns the average latency, which is forgotten while there are no answers.
func (st *standing) recall(now time.Time) time.Duration {
	if st.average == 0 {
		return typicalLatency
	}
	idle := now.Sub(st.answeredAt)
	if idle < forgetAfter || st.average <= typicalLatency {
		return st.average
	}
	halvings := min(int(idle/forgetAfter), 16)
	return max(st.average>>halvings, typicalLatency)
}

// recallErrors returns the average of failures, which is forgotten while the server gets no requests.
func (st *standing) recallErrors(now time.Time) float64 {
	idle := now.Sub(st.endedAt)
	if st.errors == 0 || idle < forgetAfter {
		return st.errors
	}
	return st.errors / float64(uint(1)<<min(int(idle/forgetAfter), 16))
}

func (st *standing) fail(now time.Time) {
	held := st.recallErrors(now)
	st.errors, st.endedAt = held+(1-held)*errorWeight, now
	st.failures++
	if st.failures == 1 {
		return // one failure among many is left to the moving average
	}
	pause := min(minAvoid<<min(st.failures, 10), maxAvoid)
	if until := now.Add(pause); until.After(st.avoidUntil) {
		st.avoidUntil = until
	}
}

func (st *standing) remove(sent time.Time) {
	if i := slices.Index(st.started, sent); i >= 0 {
		st.started = slices.Delete(st.started, i, i+1)
	}
}
