package modeler

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
)

// server is a backend server: slots, a queue, pauses and faults.
type server struct {
	clock    *clock
	scenario *Scenario
	name     broker.ServerName
	index    int
	zone     int
	phase    time.Duration // start of its first pause

	free    []time.Duration // when each slot has done all that it has taken
	pending map[*job]time.Duration
	factor  float64
	down    bool
	silent  bool
}

// job is one attempt at a server.
type job struct {
	work  time.Duration
	ended func(outcome broker.Outcome, reason broker.Reason)
}

func newServer(c *clock, scenario *Scenario, name broker.ServerName, index, zone int, random *rand.Rand) *server {
	s := &server{
		clock: c, scenario: scenario, name: name, index: index, zone: zone, free: make([]time.Duration, scenario.Slots),
		pending: map[*job]time.Duration{}, factor: 1,
	}
	if scenario.Period > 0 {
		s.phase = time.Duration(random.Int64N(int64(scenario.Period)))
	}
	return s
}

// arrive takes an attempt; ended is called at the time at which the server answers, or never.
func (s *server) arrive(j *job) {
	switch {
	case s.down:
		j.ended(broker.OutcomeNotRun, broker.ReasonUnreachable)
		return
	case s.silent:
		return
	case s.queued() >= s.scenario.Queue:
		j.ended(broker.OutcomeNotRun, broker.ReasonShed)
		return
	}
	slot, end := s.predict(s.clock.now, j.work)
	s.free[slot] = end
	s.pending[j] = end
	s.clock.after(end-s.clock.now, func() {
		if _, ok := s.pending[j]; !ok {
			return // a crash has ended it
		}
		delete(s.pending, j)
		if !s.silent {
			j.ended(broker.OutcomeAnswered, broker.ReasonNone)
		}
	})
}

// predict returns the slot that takes work which arrives at a time, and when it is done.
func (s *server) predict(at time.Duration, work time.Duration) (slot int, end time.Duration) {
	for i, free := range s.free {
		if free < s.free[slot] {
			slot = i
		}
	}
	return slot, s.finish(max(at, s.free[slot]), time.Duration(float64(work)*s.factor))
}

// queued returns how many attempts have no slot yet.
func (s *server) queued() int { return max(len(s.pending)-len(s.free), 0) }

// finish returns when work that begins at a time ends, with the pauses in between.
func (s *server) finish(begin, work time.Duration) time.Duration {
	end := begin
	period, pause := time.Duration(s.scenario.Period), time.Duration(s.scenario.Pause)
	if period == 0 || pause == 0 {
		return end + work
	}
	for {
		into := (end - s.phase) % period
		if into < 0 {
			into += period
		}
		if into < pause {
			end += pause - into
			into = pause
		}
		if left := period - into; work > left {
			work -= left
			end += left
			continue
		}
		return end + work
	}
}

// crash ends what the server works on and waits for.
func (s *server) crash() {
	lost := slices.SortedFunc(maps.Keys(s.pending), func(a, b *job) int {
		return cmp.Or(cmp.Compare(s.pending[a], s.pending[b]), cmp.Compare(a.work, b.work))
	})
	clear(s.pending)
	for i := range s.free {
		s.free[i] = s.clock.now
	}
	s.down = true
	for _, j := range lost {
		j.ended(broker.OutcomeUnknown, broker.ReasonLost)
	}
}

// draw returns a service time of a kind.
func draw(k *Kind, random *rand.Rand) time.Duration {
	// The mean of a logarithmic normal distribution lies above its median by half of the variance.
	work := float64(k.Work) * math.Exp(k.Spread*random.NormFloat64()-k.Spread*k.Spread/2)
	if random.Float64() < k.TailShare {
		work *= k.TailFactor
	}
	return time.Duration(work)
}
