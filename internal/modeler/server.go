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

// server models a backend server with slots, a queue, pauses and faults.
type server struct {
	clock      *clock
	scenario   *Scenario
	name       broker.ServerName
	index      int
	zone       int
	firstPause time.Duration // start, since epoch

	slotFreeAt []time.Duration        // when each slot has finished the work assigned to it
	pending    map[*job]time.Duration // end of each running or queued job
	slowFactor float64                // on service times, 1 without a fault
	down       bool
	silent     bool
}

// job is one attempt at a server.
type job struct {
	work  time.Duration // service time without pauses and faults
	onEnd func(outcome broker.Outcome, reason broker.Reason)
}

func newServer(c *clock, scenario *Scenario, name broker.ServerName, index, zone int, random *rand.Rand) *server {
	s := &server{
		clock: c, scenario: scenario, name: name, index: index, zone: zone, slotFreeAt: make([]time.Duration, scenario.Slots),
		pending: map[*job]time.Duration{}, slowFactor: 1,
	}
	if scenario.Period > 0 {
		s.firstPause = time.Duration(random.Int64N(int64(scenario.Period)))
	}
	return s
}

// submit starts or queues an attempt. It calls onEnd when the attempt ends; an attempt at a silent server never ends.
func (s *server) submit(j *job) {
	switch {
	case s.down:
		j.onEnd(broker.OutcomeNotRun, broker.ReasonUnreachable)
		return
	case s.silent:
		return
	case s.queued() >= s.scenario.Queue:
		j.onEnd(broker.OutcomeNotRun, broker.ReasonShed)
		return
	}
	slot, end := s.predict(s.clock.now, j.work)
	s.slotFreeAt[slot] = end
	s.pending[j] = end
	s.clock.after(end-s.clock.now, func() {
		if _, ok := s.pending[j]; !ok {
			return // ended by a crash
		}
		delete(s.pending, j)
		if !s.silent {
			j.onEnd(broker.OutcomeAnswered, broker.ReasonNone)
		}
	})
}

// predict returns the slot that would run work arriving at a time, and when the work would end.
func (s *server) predict(arrival time.Duration, work time.Duration) (slot int, end time.Duration) {
	for i, freeAt := range s.slotFreeAt {
		if freeAt < s.slotFreeAt[slot] {
			slot = i
		}
	}
	return slot, s.finishTime(max(arrival, s.slotFreeAt[slot]), time.Duration(float64(work)*s.slowFactor))
}

// queued returns the number of attempts that wait for a slot.
func (s *server) queued() int { return max(len(s.pending)-len(s.slotFreeAt), 0) }

// finishTime returns when work that begins at a time ends, including the pauses in between.
func (s *server) finishTime(begin, work time.Duration) time.Duration {
	end := begin
	period, pause := time.Duration(s.scenario.Period), time.Duration(s.scenario.Pause)
	if period == 0 || pause == 0 {
		return end + work
	}
	for {
		// elapsed is the time since the start of the last pause.
		elapsed := (end - s.firstPause) % period
		if elapsed < 0 {
			elapsed += period
		}
		if elapsed < pause {
			end += pause - elapsed
			elapsed = pause
		}
		if remaining := period - elapsed; work > remaining {
			work -= remaining
			end += remaining
			continue
		}
		return end + work
	}
}

// crash takes the server down and ends all running and queued attempts with an unknown outcome.
func (s *server) crash() {
	lost := slices.SortedFunc(maps.Keys(s.pending), func(a, b *job) int {
		return cmp.Or(cmp.Compare(s.pending[a], s.pending[b]), cmp.Compare(a.work, b.work))
	})
	clear(s.pending)
	for i := range s.slotFreeAt {
		s.slotFreeAt[i] = s.clock.now
	}
	s.down = true
	for _, j := range lost {
		j.onEnd(broker.OutcomeUnknown, broker.ReasonLost)
	}
}

// drawServiceTime returns a random service time for a kind of request.
func drawServiceTime(k *Kind, random *rand.Rand) time.Duration {
	// The mean of a log-normal distribution is exp(variance/2) times its median.
	work := float64(k.Work) * math.Exp(k.Spread*random.NormFloat64()-k.Spread*k.Spread/2)
	if random.Float64() < k.TailShare {
		work *= k.TailFactor
	}
	return time.Duration(work)
}
