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

// session drives an admitter and writes down each event with its actions.
type session struct {
	admitter *Admitter
	now      time.Time
	log      strings.Builder
}

func newSession(settings Settings) *session {
	return &session{admitter: New(settings), now: epoch}
}

func (s *session) note(event string, actions []Action) {
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

func (s *session) after(d time.Duration) { s.now = s.now.Add(d) }

func (s *session) submit(ticket Ticket, priority int, left time.Duration) {
	s.note(fmt.Sprintf("submit %d p%d %s", ticket, priority, left),
		s.admitter.Submit(Request{Ticket: ticket, Priority: priority, Deadline: s.now.Add(left)}, s.now))
}

func (s *session) alone(ticket Ticket) {
	s.note(fmt.Sprintf("submit %d alone", ticket),
		s.admitter.Submit(Request{Ticket: ticket, Deadline: s.now.Add(time.Second), Alone: true}, s.now))
}

func (s *session) probe(ticket Ticket) {
	s.note(fmt.Sprintf("probe %d", ticket),
		s.admitter.Submit(Request{Ticket: ticket, Deadline: s.now.Add(time.Second), Probe: true}, s.now))
}

func (s *session) finish(ticket Ticket, verdict Verdict, latency time.Duration, bootID string) {
	s.note(fmt.Sprintf("finish %d verdict=%d %s %s", ticket, verdict, latency, bootID),
		s.admitter.Finish(ticket, Result{Verdict: verdict, Latency: latency, BootID: bootID}, s.now))
}

func (s *session) tick() { s.note("tick", s.admitter.Tick(s.now)) }

// answer runs one request from submission to answer.
func (s *session) answer(ticket Ticket, latency time.Duration, bootID string) {
	s.submit(ticket, 1, time.Second)
	s.after(latency)
	s.finish(ticket, VerdictAnswered, latency, bootID)
}

var twoSlots = Settings{
	Slots: 2, ColdConcurrency: 1, ColdSuccesses: 2, ColdStep: 1, QueueLimit: 3, AttemptTimeout: 200 * time.Millisecond,
}

// warmed returns a session with a server that has answered in 10 ms since its boot b1.
func warmed(settings Settings) *session {
	s := newSession(settings)
	for ticket := Ticket(1); s.admitter.Phase() != broker.PhaseWarm || ticket <= 40; ticket++ {
		s.answer(ticket, 10*time.Millisecond, "b1")
	}
	s.log.Reset()
	s.now = epoch
	return s
}

const ms = time.Millisecond

var four = Settings{Slots: 4, ColdConcurrency: 1, ColdSuccesses: 2, ColdStep: 2, AttemptTimeout: 200 * ms}

var sessions = []struct {
	name string
	run  func() *session
}{
	{"coldStart", func() *session {
		s := newSession(four)
		s.submit(1, 1, time.Second)
		s.submit(2, 1, time.Second)
		s.probe(100) // the cold limit of one is used: it gets the next slot
		s.after(30 * ms)
		s.finish(1, VerdictAnswered, 30*ms, "b1")
		s.after(ms)
		s.finish(100, VerdictAnswered, ms, "b1") // a probe is no step of the ramp
		s.after(30 * ms)
		s.finish(2, VerdictAnswered, 30*ms, "b1")
		s.answer(3, 20*ms, "b1")
		s.answer(4, 20*ms, "b1")
		return s
	}},
	{"silentlyCold", func() *session {
		s := warmed(four)
		s.answer(1, 200*ms, "b1") // a single straggler
		s.answer(2, 10*ms, "b1")
		for ticket := Ticket(3); ticket < 7; ticket++ {
			s.answer(ticket, 200*ms, "b1")
		}
		s.answer(7, 200*ms, "b1") // still slow: no step of the ramp
		s.answer(8, 10*ms, "b1")
		s.answer(9, 10*ms, "b1")
		s.submit(10, 1, time.Second)
		s.finish(10, VerdictAnswered, 10*ms, "b2") // restarted without a word

		s.admitter = warmed(four).admitter
		for ticket := Ticket(1001); ticket < 1005; ticket++ {
			s.submit(ticket, 1, time.Second)
		}
		s.after(60 * ms)
		s.tick() // four requests overdue at once
		return s
	}},
	{"errorsAndCrash", func() *session {
		s := warmed(four)
		s.submit(1, 1, time.Second)
		s.submit(2, 1, time.Second)
		s.finish(1, VerdictLost, 5*ms, "")
		s.submit(3, 1, time.Second) // waits for the verification
		s.finish(2, VerdictLost, 5*ms, "")
		s.note("confirm crash", s.admitter.Confirm(true, nil, s.now))
		s.submit(4, 1, time.Second)
		s.after(30 * ms)
		s.submit(5, 1, time.Second) // the one trial after the pause
		s.submit(6, 1, time.Second)
		s.finish(5, VerdictAnswered, 10*ms, "b2")
		for ticket := Ticket(7); ticket < 11; ticket++ {
			s.submit(ticket, 1, time.Second)
		}
		return s
	}},
	{"shed", func() *session {
		s := warmed(twoSlots)
		s.submit(1, 1, time.Second)
		s.finish(1, VerdictShed, ms, "b1")
		s.submit(2, 1, time.Second)
		s.submit(3, 1, 15*ms) // cannot wait for the end of the pause
		s.after(20 * ms)
		s.tick()
		s.submit(4, 1, time.Second)
		s.finish(2, VerdictShed, ms, "b1")
		s.after(20 * ms)
		s.tick()
		s.after(20 * ms)
		s.tick()
		s.finish(4, VerdictAnswered, 10*ms, "b1")
		s.submit(5, 1, time.Second)
		s.submit(6, 1, time.Second) // below the concurrency that was refused
		for ticket := Ticket(5); ticket < 35; ticket++ {
			s.admitter.Finish(ticket, Result{Verdict: VerdictAnswered, Latency: 10 * ms}, s.now)
			s.admitter.Submit(Request{Ticket: ticket + 2, Deadline: s.now.Add(time.Second)}, s.now)
		}
		s.finish(35, VerdictAnswered, 10*ms, "b1") // the 32nd answer since
		s.submit(37, 1, time.Second)
		return s
	}},
	{"drain", func() *session {
		s := warmed(twoSlots)
		for ticket := Ticket(1); ticket < 4; ticket++ {
			s.submit(ticket, 1, time.Second)
		}
		s.note("zone out", s.admitter.Configure(twoSlots, broker.ReasonZoneOut, s.now))
		s.submit(4, 1, time.Second)
		s.finish(1, VerdictAnswered, 10*ms, "b1")
		s.note("zone in", s.admitter.Configure(twoSlots, broker.ReasonNone, s.now))
		s.finish(2, VerdictAnswered, 10*ms, "b1")
		s.submit(5, 1, time.Second)
		s.submit(6, 1, time.Second)
		s.finish(5, VerdictDraining, ms, "b1")
		s.note("status leaving", s.admitter.ObserveStatus(broker.BackendStatus{BootID: "b1", Draining: true}, s.now))
		s.note("status b2", s.admitter.ObserveStatus(broker.BackendStatus{BootID: "b2"}, s.now))
		return s
	}},
	{"takeover", func() *session {
		s := newSession(twoSlots)
		state := &broker.ServerState{Phase: broker.PhaseWarm, Limit: 2, BootID: "b1", InFlight: 1}
		s.note("adopt unplanned", s.admitter.Adopt(state, false, s.now))
		s.submit(1, 1, 100*ms) // the deadline is before the end of the busy time
		s.submit(2, 1, time.Second)
		s.submit(3, 1, time.Second)
		s.after(199 * ms)
		s.tick()
		s.after(ms)
		s.tick()
		s.finish(2, VerdictAnswered, 10*ms, "b1") // the same boot: warm again
		s.submit(4, 1, time.Second)

		s.admitter = New(twoSlots)
		s.note("adopt planned", s.admitter.Adopt(state, true, s.now))
		s.submit(5, 1, time.Second)
		s.submit(6, 1, time.Second)
		s.after(200 * ms)
		s.tick()
		return s
	}},
	{"priorities", func() *session {
		s := warmed(twoSlots)
		s.submit(1, 1, time.Second)
		s.submit(2, 1, time.Second)
		s.submit(3, 1, time.Second)
		s.submit(4, 1, 30*ms)
		s.submit(5, 1, 12*ms) // cannot be met behind the running ones
		s.submit(6, 2, 40*ms) // 4 cannot be met behind it any more
		s.submit(7, 1, time.Second)
		s.submit(8, 2, time.Second) // the queue is full: the lowest priority goes
		s.submit(9, 1, time.Second)
		s.note("cancel 6", s.admitter.Cancel(6, s.now))
		s.finish(1, VerdictAnswered, 10*ms, "b1")
		return s
	}},
	{"alone", func() *session {
		s := warmed(twoSlots)
		s.submit(1, 1, time.Second)
		s.alone(2)
		s.submit(3, 0, time.Second)
		s.finish(1, VerdictAnswered, 10*ms, "b1")
		s.probe(100)
		s.finish(2, VerdictAnswered, 10*ms, "b1")
		return s
	}},
	{"lagging", func() *session {
		s := warmed(twoSlots)
		s.answer(1, 10*ms, "b2")
		status := func(bootID string) {
			s.note("status "+bootID, s.admitter.ObserveStatus(broker.BackendStatus{BootID: bootID}, s.now))
		}
		status("b1") // of the process before: neither a new boot nor an end of the drain
		s.answer(2, 10*ms, "b2")
		s.submit(3, 1, time.Second)
		s.finish(3, VerdictDraining, ms, "b2")
		status("b2")
		s.after(5 * time.Second)
		status("b1")
		status("b2")
		return s
	}},
	{"kinds", func() *session {
		s := warmed(four)
		for ticket := Ticket(1); ticket < 6; ticket++ { // a kind that is always slow is no cold start
			request := Request{Ticket: ticket, Kind: "export", Deadline: s.now.Add(time.Second)}
			s.note(fmt.Sprintf("submit %d export", ticket), s.admitter.Submit(request, s.now))
			s.after(200 * ms)
			s.finish(ticket, VerdictAnswered, 200*ms, "b1")
		}
		return s
	}},
}

// TestSessions compares whole sessions with golden files. Each guards a guarantee: cold and silently cold servers get
// no more than the cold limit, shed servers are left alone, draining ends new work, takeovers wait, refusals are early
// and lowest priority first, suspects run alone.
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

// simulate offers requests at a multiple of the capacity of one server and returns how many were answered in time, and
// how many slots were used at once at most. Service times are seeded, with 1% stragglers at 20 times the median.
func simulate(load float64, seed uint64) (inTime, most int) {
	const (
		service  = 10 * ms
		deadline = 100 * ms
		length   = 60 * time.Second
	)
	settings := Settings{Slots: 2, ColdConcurrency: 2, ColdSuccesses: 1, ColdStep: 2, AttemptTimeout: deadline}
	random := rand.New(rand.NewPCG(seed, 1))
	s := newSession(settings)
	type ending struct {
		ticket Ticket
		at     time.Time
	}
	var running []ending
	deadlines := make(map[Ticket]time.Time)
	take := func(actions []Action) {
		for _, a := range actions {
			if a.Kind != ActionDispatch {
				continue
			}
			latency := time.Duration(float64(service) * (0.5 + random.Float64()))
			if random.IntN(100) == 0 {
				latency *= 20
			}
			// The caller gives up at its deadline, and the server stops the request then.
			end := s.now.Add(latency)
			if end.After(deadlines[a.Ticket]) {
				end = deadlines[a.Ticket]
			}
			running = append(running, ending{a.Ticket, end})
		}
		most = max(most, len(running))
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
			take(s.admitter.Submit(Request{Ticket: ticket, Deadline: deadlines[ticket]}, s.now))
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
		take(s.admitter.Finish(ended.ticket, result, s.now))
	}
	return inTime, most
}

// TestGoodputUnderOverload guards against work on requests that come too late: at 2 times overload, goodput stays at
// 90% of its peak over all loads.
func TestGoodputUnderOverload(t *testing.T) {
	peak := 0
	for _, load := range []float64{0.6, 0.8, 0.9, 1, 1.1, 1.25, 1.5} {
		inTime, _ := simulate(load, 7)
		t.Logf("load %.2f: %d in time", load, inTime)
		peak = max(peak, inTime)
	}
	got, most := simulate(2, 7)
	t.Logf("load 2.00: %d in time", got)
	if want := peak * 9 / 10; got < want {
		t.Errorf("in time at load 2: got %d, want at least %d", got, want)
	}
	if most > 2 {
		t.Errorf("slots used at once: got %d, want at most 2", most)
	}
}

// verdicts are all but draining, which ends a session early; most requests are answered.
var verdicts = append(slices.Repeat([]Verdict{VerdictAnswered}, 8), VerdictFailed, VerdictShed, VerdictCold,
	VerdictRefused, VerdictLost, VerdictTimedOut, VerdictUnreachable, VerdictCancelled, VerdictWithheld)

// TestInvariants guards, over random sessions, against more requests at once than slots or the limit at their start,
// work for a closed server, a suspect in company, and requests that are forgotten or decided twice.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := Settings{
			Slots: rapid.IntRange(1, 4).Draw(t, "slots"), ColdConcurrency: 1, ColdSuccesses: 2, ColdStep: 1, QueueLimit: 5,
		}
		a, now, closed := New(settings), epoch, broker.ReasonNone
		waiting, runs, alone := map[Ticket]bool{}, map[Ticket]bool{}, map[Ticket]bool{}
		take := func(actions []Action) {
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
				for other := range runs {
					if alone[other] || alone[action.Ticket] {
						t.Fatalf("ticket %d runs with %d, one of them alone", action.Ticket, other)
					}
				}
				runs[action.Ticket] = true
				limit := min(max(a.AnnouncedLimit(), 1), settings.Slots)
				if len(runs) > limit || closed != broker.ReasonNone {
					t.Fatalf("%d requests run at limit %d, closed %q", len(runs), limit, closed)
				}
			}
			if len(waiting) != a.Queued() || len(runs) != a.InFlight() || a.Queued() > settings.QueueLimit {
				t.Fatalf("got %d queued and %d running, want %d and %d",
					a.Queued(), a.InFlight(), len(waiting), len(runs))
			}
		}
		some := func(tickets map[Ticket]bool, label string) Ticket {
			return rapid.SampledFrom(slices.Sorted(maps.Keys(tickets))).Draw(t, label)
		}
		for ticket := Ticket(1); ticket < 80; ticket++ {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "pause")) * ms)
			switch kind := rapid.IntRange(0, 9).Draw(t, "event"); {
			case kind < 4 || len(runs) == 0 && kind < 8:
				waiting[ticket] = true
				alone[ticket] = rapid.IntRange(0, 9).Draw(t, "alone") == 0
				deadline := now.Add(time.Duration(rapid.IntRange(5, 300).Draw(t, "left")) * ms)
				priority := rapid.IntRange(0, 2).Draw(t, "priority")
				take(a.Submit(
					Request{Ticket: ticket, Priority: priority, Deadline: deadline, Alone: alone[ticket]}, now))
			case kind < 8:
				ended := some(runs, "ended")
				delete(runs, ended)
				verdict := rapid.SampledFrom(verdicts).Draw(t, "verdict")
				actions := slices.Clone(a.Finish(ended, Result{Verdict: verdict, BootID: "b1"}, now))
				take(actions)
				if slices.ContainsFunc(actions, func(a Action) bool { return a.Kind == ActionVerify }) {
					take(a.Confirm(rapid.Bool().Draw(t, "crashed"), nil, now))
				}
			case kind == 8 && len(waiting) > 0:
				take(a.Cancel(some(waiting, "cancelled"), now))
			default:
				closed = rapid.SampledFrom([]broker.Reason{"", "", broker.ReasonZoneOut}).Draw(t, "closed")
				take(a.Configure(settings, closed, now))
			}
		}
	})
}

// BenchmarkSubmitFinish measures one admitted request.
func BenchmarkSubmitFinish(b *testing.B) {
	s := warmed(Settings{Slots: 4, ColdConcurrency: 1, ColdSuccesses: 1, ColdStep: 4})
	deadline := s.now.Add(time.Hour)
	b.ReportAllocs()
	for i := range b.N {
		ticket := Ticket(i + 1000)
		s.admitter.Submit(Request{Ticket: ticket, Deadline: deadline}, s.now)
		s.admitter.Finish(ticket, Result{Verdict: VerdictAnswered, Latency: ms, BootID: "b1"}, s.now)
	}
}
