package admitter

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/yuccarock/yuccarock/internal/broker"
)

var update = flag.Bool("update", false, "rewrite the golden files")

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// session drives an Admitter and logs each event with the returned actions.
type session struct {
	admitter *Admitter
	now      time.Time
	log      strings.Builder
}

func newSession(settings Settings) *session {
	return &session{admitter: New(settings), now: epoch}
}

func (s *session) record(event string, actions []Action) {
	fmt.Fprintf(&s.log, "%6s %-34s", s.now.Sub(epoch), event)
	for _, a := range actions {
		switch a.Kind {
		case ActionDispatch:
			fmt.Fprintf(&s.log, " dispatch(%d)", a.Ticket)
		case ActionRefuse:
			fmt.Fprintf(&s.log, " refuse(%d,%s)", a.Ticket, a.Reason)
		default:
			fmt.Fprintf(&s.log, " %s", a.Kind)
		}
	}
	fmt.Fprintf(&s.log, " | %s limit=%d running=%d queued=%d\n", s.admitter.Phase(), s.admitter.AnnouncedLimit(),
		s.admitter.InFlight(), s.admitter.Queued())
}

func (s *session) advance(d time.Duration) { s.now = s.now.Add(d) }

func (s *session) submit(ticket Ticket, priority int, left time.Duration) {
	s.record(fmt.Sprintf("submit %d p%d %s", ticket, priority, left),
		s.admitter.Submit(Request{Ticket: ticket, Priority: priority, Deadline: s.now.Add(left)}, s.now))
}

func (s *session) alone(ticket Ticket) {
	s.record(fmt.Sprintf("submit %d alone", ticket),
		s.admitter.Submit(Request{Ticket: ticket, Deadline: s.now.Add(time.Second), Alone: true}, s.now))
}

func (s *session) probe(ticket Ticket) {
	s.record(fmt.Sprintf("probe %d", ticket),
		s.admitter.Submit(Request{Ticket: ticket, Deadline: s.now.Add(time.Second), Probe: true}, s.now))
}

func (s *session) finish(ticket Ticket, verdict Verdict, latency time.Duration, bootID string) {
	s.record(fmt.Sprintf("finish %d verdict=%d %s %s", ticket, verdict, latency, bootID),
		s.admitter.Finish(ticket, Result{Verdict: verdict, Latency: latency, BootID: bootID}, s.now))
}

func (s *session) tick() { s.record("tick", s.admitter.Tick(s.now)) }

// answer runs one request from its submission to its answer.
func (s *session) answer(ticket Ticket, latency time.Duration, bootID string) {
	s.submit(ticket, 1, time.Second)
	s.advance(latency)
	s.finish(ticket, VerdictAnswered, latency, bootID)
}

var twoSlots = Settings{
	Slots: 2, ColdConcurrency: 1, ColdSuccesses: 2, ColdStep: 1, QueueLimit: 3, AttemptTimeout: 200 * time.Millisecond,
}

// newWarmSession returns a session with a warm server whose process b1 answers in 10 ms.
func newWarmSession(settings Settings) *session {
	s := newSession(settings)
	for ticket := Ticket(1); s.admitter.Phase() != broker.PhaseWarm || ticket <= 40; ticket++ {
		s.answer(ticket, 10*time.Millisecond, "b1")
	}
	s.log.Reset()
	s.now = epoch
	return s
}

const ms = time.Millisecond

var fourSlots = Settings{Slots: 4, ColdConcurrency: 1, ColdSuccesses: 2, ColdStep: 2, AttemptTimeout: 200 * ms}

var sessions = []struct {
	name string
	run  func() *session
}{
	{"coldStart", func() *session {
		s := newSession(fourSlots)
		s.submit(1, 1, time.Second)
		s.submit(2, 1, time.Second)
		s.probe(100) // the cold limit of one is reached: the probe gets the next slot
		s.advance(30 * ms)
		s.finish(1, VerdictAnswered, 30*ms, "b1")
		s.advance(ms)
		s.finish(100, VerdictAnswered, ms, "b1") // a probe doesn't count for the ramp
		s.advance(30 * ms)
		s.finish(2, VerdictAnswered, 30*ms, "b1")
		s.answer(3, 20*ms, "b1")
		s.answer(4, 20*ms, "b1")
		return s
	}},
	{"silentlyCold", func() *session {
		s := newWarmSession(fourSlots)
		s.answer(1, 200*ms, "b1") // a single straggler
		s.answer(2, 10*ms, "b1")
		for ticket := Ticket(3); ticket < 7; ticket++ {
			s.answer(ticket, 200*ms, "b1")
		}
		s.answer(7, 200*ms, "b1") // still slow: doesn't count for the ramp
		s.answer(8, 10*ms, "b1")
		s.answer(9, 10*ms, "b1")
		s.submit(10, 1, time.Second)
		s.finish(10, VerdictAnswered, 10*ms, "b2") // restarted without notice

		s.admitter = newWarmSession(fourSlots).admitter
		for ticket := Ticket(1001); ticket < 1005; ticket++ {
			s.submit(ticket, 1, time.Second)
		}
		s.advance(60 * ms)
		s.tick() // four requests are overdue
		return s
	}},
	{"errorsAndCrash", func() *session {
		s := newWarmSession(fourSlots)
		s.submit(1, 1, time.Second)
		s.submit(2, 1, time.Second)
		s.finish(1, VerdictConnectionLost, 5*ms, "")
		s.submit(3, 1, time.Second) // waits for the verification
		s.finish(2, VerdictConnectionLost, 5*ms, "")
		s.record("confirm crash", s.admitter.FinishVerification(true, nil, s.now))
		s.submit(4, 1, time.Second)
		s.advance(30 * ms)
		s.submit(5, 1, time.Second) // the only request after the pause
		s.submit(6, 1, time.Second)
		s.finish(5, VerdictAnswered, 10*ms, "b2")
		for ticket := Ticket(7); ticket < 11; ticket++ {
			s.submit(ticket, 1, time.Second)
		}
		return s
	}},
	{"shed", func() *session {
		s := newWarmSession(twoSlots)
		s.submit(1, 1, time.Second)
		s.finish(1, VerdictShed, ms, "b1")
		s.submit(2, 1, time.Second)
		s.submit(3, 1, 15*ms) // cannot wait for the end of the pause
		s.advance(20 * ms)
		s.tick()
		s.submit(4, 1, time.Second)
		s.finish(2, VerdictShed, ms, "b1")
		s.advance(20 * ms)
		s.tick()
		s.advance(20 * ms)
		s.tick()
		s.finish(4, VerdictAnswered, 10*ms, "b1")
		s.submit(5, 1, time.Second)
		s.submit(6, 1, time.Second) // exceeds the ceiling, which is below the concurrency that was refused
		for ticket := Ticket(5); ticket < 35; ticket++ {
			s.admitter.Finish(ticket, Result{Verdict: VerdictAnswered, Latency: 10 * ms}, s.now)
			s.admitter.Submit(Request{Ticket: ticket + 2, Deadline: s.now.Add(time.Second)}, s.now)
		}
		s.finish(35, VerdictAnswered, 10*ms, "b1") // the 32nd answer raises the ceiling
		s.submit(37, 1, time.Second)
		return s
	}},
	{"drain", func() *session {
		s := newWarmSession(twoSlots)
		for ticket := Ticket(1); ticket < 4; ticket++ {
			s.submit(ticket, 1, time.Second)
		}
		s.record("zone out", s.admitter.Configure(twoSlots, broker.ReasonZoneOut, s.now))
		s.submit(4, 1, time.Second)
		s.finish(1, VerdictAnswered, 10*ms, "b1")
		s.record("zone in", s.admitter.Configure(twoSlots, broker.ReasonNone, s.now))
		s.finish(2, VerdictAnswered, 10*ms, "b1")
		s.submit(5, 1, time.Second)
		s.submit(6, 1, time.Second)
		s.finish(5, VerdictDraining, ms, "b1")
		s.record("status leaving", s.admitter.ObserveStatus(broker.BackendStatus{BootID: "b1", Draining: true}, s.now))
		s.record("status b2", s.admitter.ObserveStatus(broker.BackendStatus{BootID: "b2"}, s.now))
		return s
	}},
	{"takeover", func() *session {
		s := newSession(twoSlots)
		state := &broker.ServerState{Phase: broker.PhaseWarm, Limit: 2, BootID: "b1", InFlight: 1}
		s.record("adopt unplanned", s.admitter.Adopt(state, false, s.now))
		s.submit(1, 1, 100*ms) // the slots of the previous owner are busy beyond the deadline
		s.submit(2, 1, time.Second)
		s.submit(3, 1, time.Second)
		s.advance(199 * ms)
		s.tick()
		s.advance(ms)
		s.tick()
		s.finish(2, VerdictAnswered, 10*ms, "b1") // same boot ID: warm again
		s.submit(4, 1, time.Second)

		s.admitter = New(twoSlots)
		s.record("adopt planned", s.admitter.Adopt(state, true, s.now))
		s.submit(5, 1, time.Second)
		s.submit(6, 1, time.Second)
		s.advance(200 * ms)
		s.tick()
		return s
	}},
	{"priorities", func() *session {
		s := newWarmSession(twoSlots)
		s.submit(1, 1, time.Second)
		s.submit(2, 1, time.Second)
		s.submit(3, 1, time.Second)
		s.submit(4, 1, 30*ms)
		s.submit(5, 1, 12*ms) // would be late behind the running requests
		s.submit(6, 2, 40*ms) // makes request 4 late
		s.submit(7, 1, time.Second)
		s.submit(8, 2, time.Second) // the queue is full: the lowest priority is refused
		s.submit(9, 1, time.Second)
		s.record("cancel 6", s.admitter.Cancel(6, s.now))
		s.finish(1, VerdictAnswered, 10*ms, "b1")
		return s
	}},
	{"alone", func() *session {
		s := newWarmSession(twoSlots)
		s.submit(1, 1, time.Second)
		s.alone(2)
		s.submit(3, 0, time.Second)
		s.finish(1, VerdictAnswered, 10*ms, "b1")
		s.probe(100)
		s.finish(2, VerdictAnswered, 10*ms, "b1")
		return s
	}},
	{"lagging", func() *session {
		s := newWarmSession(twoSlots)
		s.answer(1, 10*ms, "b2")
		status := func(bootID string) {
			s.record("status "+bootID, s.admitter.ObserveStatus(broker.BackendStatus{BootID: bootID}, s.now))
		}
		status("b1") // of the previous process: neither a new boot nor the end of draining
		s.answer(2, 10*ms, "b2")
		s.submit(3, 1, time.Second)
		s.finish(3, VerdictDraining, ms, "b2")
		status("b2")
		s.advance(5 * time.Second)
		status("b1")
		status("b2")
		return s
	}},
	{"kinds", func() *session {
		s := newWarmSession(fourSlots)
		for ticket := Ticket(1); ticket < 6; ticket++ { // a kind that is always slow is not a sign of a cold start
			request := Request{Ticket: ticket, Kind: "export", Deadline: s.now.Add(time.Second)}
			s.record(fmt.Sprintf("submit %d export", ticket), s.admitter.Submit(request, s.now))
			s.advance(200 * ms)
			s.finish(ticket, VerdictAnswered, 200*ms, "b1")
		}
		return s
	}},
}

// TestSessions compares logs of sessions with golden files. They guard these guarantees: a cold server, even one
// that became cold without notice, gets no more than the cold limit; a server that shed gets a pause; a draining server
// gets no new requests; a takeover waits for the previous owner's requests; refusals are early and start with the
// lowest priority; a suspect runs alone.
func TestSessions(t *testing.T) {
	for _, tt := range sessions {
		t.Run(tt.name, func(t *testing.T) {
			got := tt.run().log.String()
			path := filepath.Join("testdata", tt.name+".golden")
			if *update {
				if err := os.WriteFile(path, []byte(got), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			want, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			if got != string(want) {
				t.Errorf("session differs from %s:\n got\n%s\nwant\n%s", path, got, want)
			}
		})
	}
}

// simulateLoad sends requests at a multiple of the capacity of one server. It returns how many were answered in time
// and the maximum number of slots in use. Service times are random from the seed; 1% are stragglers at 20 times the
// median.
func simulateLoad(load float64, seed uint64) (inTime, maxRunning int) {
	const (
		service  = 10 * ms
		deadline = 100 * ms
		length   = 60 * time.Second
	)
	settings := Settings{Slots: 2, ColdConcurrency: 2, ColdSuccesses: 1, ColdStep: 2, AttemptTimeout: deadline}
	random := rand.New(rand.NewPCG(seed, 1))
	s := newSession(settings)
	type completion struct {
		ticket Ticket
		at     time.Time
	}
	var running []completion
	deadlines := make(map[Ticket]time.Time)
	handle := func(actions []Action) {
		for _, a := range actions {
			if a.Kind != ActionDispatch {
				continue
			}
			latency := time.Duration(float64(service) * (0.5 + random.Float64()))
			if random.IntN(100) == 0 {
				latency *= 20
			}
			// At the deadline the request is cancelled and the server stops it.
			end := s.now.Add(latency)
			if end.After(deadlines[a.Ticket]) {
				end = deadlines[a.Ticket]
			}
			running = append(running, completion{a.Ticket, end})
		}
		maxRunning = max(maxRunning, len(running))
	}
	next, ticket := s.now, Ticket(0)
	for s.now.Sub(epoch) < length {
		first := -1
		for i := range running {
			if running[i].at.Before(next) && (first < 0 || running[i].at.Before(running[first].at)) {
				first = i
			}
		}
		if first < 0 {
			ticket++
			s.now = next
			deadlines[ticket] = s.now.Add(deadline)
			handle(s.admitter.Submit(Request{Ticket: ticket, Deadline: deadlines[ticket]}, s.now))
			next = next.Add(time.Duration(random.ExpFloat64() * float64(service) / 2 / load))
			continue
		}
		ended := running[first]
		running = append(running[:first], running[first+1:]...)
		s.now = ended.at
		result := Result{Verdict: VerdictAnswered}
		if ended.at.Equal(deadlines[ended.ticket]) {
			result.Verdict = VerdictTimedOut
		} else {
			inTime++
		}
		handle(s.admitter.Finish(ended.ticket, result, s.now))
	}
	return inTime, maxRunning
}

// TestGoodputUnderOverload guards against running requests whose answers come too late: at twice the capacity, at least
// 90% of the peak goodput must remain.
func TestGoodputUnderOverload(t *testing.T) {
	peak := 0
	for _, load := range []float64{0.6, 0.8, 0.9, 1, 1.1, 1.25, 1.5} {
		inTime, _ := simulateLoad(load, 7)
		t.Logf("load %.2f: %d in time", load, inTime)
		peak = max(peak, inTime)
	}
	got, maxRunning := simulateLoad(2, 7)
	t.Logf("load 2.00: %d in time", got)
	if want := peak * 9 / 10; got < want {
		t.Errorf("in time at load 2: got %d, want at least %d", got, want)
	}
	if maxRunning > 2 {
		t.Errorf("slots in use: got %d, want at most 2", maxRunning)
	}
}

// verdicts are the results drawn by TestInvariants, mostly answers. VerdictDraining is left out because it ends a
// session early.
var verdicts = append(slices.Repeat([]Verdict{VerdictAnswered}, 8), VerdictFailed, VerdictShed, VerdictCold,
	VerdictRefused, VerdictConnectionLost, VerdictTimedOut, VerdictUnreachable, VerdictCancelled, VerdictNotSent)

// TestInvariants guards, over random sessions, against more running requests than slots or than the limit at their
// start, requests to a server that the configuration excludes, other requests beside a suspect, and requests that are
// lost or decided twice.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := Settings{
			Slots: rapid.IntRange(1, 4).Draw(t, "slots"), ColdConcurrency: 1, ColdSuccesses: 2, ColdStep: 1, QueueLimit: 5,
		}
		a, now, closed := New(settings), epoch, broker.ReasonNone
		waiting, running, alone := map[Ticket]bool{}, map[Ticket]bool{}, map[Ticket]bool{}
		handle := func(actions []Action) {
			for _, action := range actions {
				if action.Kind != ActionDispatch && action.Kind != ActionRefuse {
					continue
				}
				if !waiting[action.Ticket] {
					t.Fatalf("%v of ticket %d, which is not waiting", action.Kind, action.Ticket)
				}
				delete(waiting, action.Ticket)
				if action.Kind == ActionRefuse {
					continue
				}
				for other := range running {
					if alone[other] || alone[action.Ticket] {
						t.Fatalf("ticket %d runs beside %d, although one of them has to run alone", action.Ticket, other)
					}
				}
				running[action.Ticket] = true
				limit := min(max(a.AnnouncedLimit(), 1), settings.Slots)
				if len(running) > limit || closed != broker.ReasonNone {
					t.Fatalf("%d requests run at limit %d, closed %q", len(running), limit, closed)
				}
			}
			if len(waiting) != a.Queued() || len(running) != a.InFlight() || a.Queued() > settings.QueueLimit {
				t.Fatalf("got %d queued and %d running, want %d and %d",
					a.Queued(), a.InFlight(), len(waiting), len(running))
			}
		}
		pick := func(tickets map[Ticket]bool, label string) Ticket {
			return rapid.SampledFrom(slices.Sorted(maps.Keys(tickets))).Draw(t, label)
		}
		for ticket := Ticket(1); ticket < 80; ticket++ {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "pause")) * ms)
			switch kind := rapid.IntRange(0, 9).Draw(t, "event"); {
			case kind < 4 || len(running) == 0 && kind < 8:
				waiting[ticket] = true
				alone[ticket] = rapid.IntRange(0, 9).Draw(t, "alone") == 0
				deadline := now.Add(time.Duration(rapid.IntRange(5, 300).Draw(t, "left")) * ms)
				priority := rapid.IntRange(0, 2).Draw(t, "priority")
				handle(a.Submit(
					Request{Ticket: ticket, Priority: priority, Deadline: deadline, Alone: alone[ticket]}, now))
			case kind < 8:
				ended := pick(running, "ended")
				delete(running, ended)
				verdict := rapid.SampledFrom(verdicts).Draw(t, "verdict")
				actions := slices.Clone(a.Finish(ended, Result{Verdict: verdict, BootID: "b1"}, now))
				handle(actions)
				if slices.ContainsFunc(actions, func(a Action) bool { return a.Kind == ActionVerify }) {
					handle(a.FinishVerification(rapid.Bool().Draw(t, "crashed"), nil, now))
				}
			case kind == 8 && len(waiting) > 0:
				handle(a.Cancel(pick(waiting, "cancelled"), now))
			default:
				closed = rapid.SampledFrom([]broker.Reason{"", "", broker.ReasonZoneOut}).Draw(t, "closed")
				handle(a.Configure(settings, closed, now))
			}
		}
	})
}

// BenchmarkSubmitFinish measures submitting and finishing one request.
func BenchmarkSubmitFinish(b *testing.B) {
	s := newWarmSession(Settings{Slots: 4, ColdConcurrency: 1, ColdSuccesses: 1, ColdStep: 4})
	deadline := s.now.Add(time.Hour)
	b.ReportAllocs()
	for i := range b.N {
		ticket := Ticket(i + 1000)
		s.admitter.Submit(Request{Ticket: ticket, Deadline: deadline}, s.now)
		s.admitter.Finish(ticket, Result{Verdict: VerdictAnswered, Latency: ms, BootID: "b1"}, s.now)
	}
}
