package modeler

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/pkg/configurator"
)

// short returns a scenario that comes with the program, cut to a length.
func short(t *testing.T, name string, length time.Duration) *Scenario {
	t.Helper()
	scenario, err := Load(name)
	if err != nil {
		t.Fatal(err)
	}
	scenario.Length = configurator.Duration(length)
	return scenario
}

// TestCompare guards the order of policies that the model is there to find: further attempts pay, none beats the one that
// knows everything, and an owner for each server loses where hosts die.
func TestCompare(t *testing.T) {
	tests := []struct {
		scenario string
		length   time.Duration
		owner    float64 // least gain of direct sending over owners in the worst windows
	}{
		{scenario: "quiet", length: 20 * time.Second},
		{scenario: "load", length: 20 * time.Second},
		{scenario: "hostsKilled", length: 40 * time.Second, owner: 0.05},
		{scenario: "serversSilent", length: 20 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.scenario, func(t *testing.T) {
			t.Parallel()
			results := map[string]Result{}
			for _, result := range Compare(short(t, tt.scenario, tt.length), Policies(), 1, 2) {
				results[result.Policy] = result
			}
			plain, direct, owner, ceiling := results["plain"], results["direct"], results["owner"], results["ceiling"]
			if direct.Worth <= plain.Worth || direct.Worth > ceiling.Worth {
				t.Errorf("worth: got direct %.3f, want above plain %.3f and at most %.3f", direct.Worth, plain.Worth, ceiling.Worth)
			}
			if got := direct.Worst - owner.Worst; tt.owner > 0 && got < tt.owner {
				t.Errorf("worst windows: got direct %.3f above owner, want %.3f or more", got, tt.owner)
			}
			if limit := 0.2; direct.Extra > limit {
				t.Errorf("further attempts: got %.3f, want at most %.3f", direct.Extra, limit)
			}
		})
	}
}

// TestSeedRepeats guards against days that a seed does not repeat.
func TestSeedRepeats(t *testing.T) {
	scenario := short(t, "hostsKilled", 15*time.Second)
	var got [2]Result
	for i := range got {
		got[i] = Compare(scenario, []Policy{{Name: "direct"}}, 7, 1)[0]
	}
	if got[0].Worth != got[1].Worth || got[0].Extra != got[1].Extra {
		t.Errorf("two runs of one seed: got worth %v and %v, extra attempts %v and %v", got[0].Worth, got[1].Worth,
			got[0].Extra, got[1].Extra)
	}
}

// TestServer guards the model of a server: slots, queue, pauses and crashes.
func TestServer(t *testing.T) {
	type end struct {
		at      time.Duration
		outcome broker.Outcome
	}
	tests := []struct {
		name  string
		phase time.Duration
		crash time.Duration
		jobs  []time.Duration // all arrive at once
		want  []end
	}{
		{
			name: "two slots", phase: 500 * time.Millisecond, jobs: []time.Duration{10 * time.Millisecond, 20 * time.Millisecond, 5 * time.Millisecond},
			want: []end{
				{10 * time.Millisecond, broker.OutcomeAnswered}, {20 * time.Millisecond, broker.OutcomeAnswered},
				{15 * time.Millisecond, broker.OutcomeAnswered},
			},
		},
		{
			name: "pause in between", phase: 5 * time.Millisecond, jobs: []time.Duration{10 * time.Millisecond},
			want: []end{{110 * time.Millisecond, broker.OutcomeAnswered}},
		},
		{
			name: "crash", phase: 500 * time.Millisecond, crash: 8 * time.Millisecond,
			jobs: []time.Duration{5 * time.Millisecond, 10 * time.Millisecond},
			want: []end{{5 * time.Millisecond, broker.OutcomeAnswered}, {8 * time.Millisecond, broker.OutcomeUnknown}},
		},
		{
			name: "queue full", phase: 500 * time.Millisecond, jobs: []time.Duration{time.Second, time.Second, time.Second, time.Second},
			want: []end{{}, {}, {}, {0, broker.OutcomeNotRun}},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := &clock{}
			scenario := &Scenario{
				Slots: 2, Queue: 1, Pause: configurator.Duration(100 * time.Millisecond), Period: configurator.Duration(time.Second),
			}
			s := &server{clock: c, scenario: scenario, phase: tt.phase, free: make([]time.Duration, 2), pending: map[*job]time.Duration{}, factor: 1}
			got := make([]end, len(tt.jobs))
			for i, work := range tt.jobs {
				s.arrive(&job{work: work, ended: func(outcome broker.Outcome, _ broker.Reason) { got[i] = end{c.now, outcome} }})
			}
			if tt.crash > 0 {
				c.after(tt.crash, s.crash)
			}
			c.run(300 * time.Millisecond)
			for i := range got {
				if got[i] != tt.want[i] {
					t.Errorf("job %d: got %v, want %v", i, got[i], tt.want[i])
				}
			}
		})
	}
}

// TestParse guards the checks of a scenario: every fault is told, with its path.
func TestParse(t *testing.T) {
	_, err := Parse([]byte(`{"name":"x","length":"1s","zones":[],"hosts":0,"kinds":[{"name":"k","rate":0}],"faults":[{"kind":"flood"}]}`))
	if err == nil {
		t.Fatal("got no error")
	}
	for _, want := range []string{"zones:", "hosts:", "kinds.0.rate:", "kinds.0.target:", "faults.0.kind:"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("got %q, want %q in it", err, want)
		}
	}
	if _, err := Parse([]byte(`{"nane":"x"}`)); err == nil {
		t.Error("unknown field: got no error")
	}
}

// TestReport guards the page: a table, and plots that a browser shows without anything else.
func TestReport(t *testing.T) {
	scenario := short(t, "quiet", 4*time.Second)
	var page bytes.Buffer
	if err := WriteReport(&page, scenario, Compare(scenario, Policies(), 1, 1)); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"<svg", "direct", "inspectorSweep", "Worth by time"} {
		if !strings.Contains(page.String(), want) {
			t.Errorf("page: want %q in it", want)
		}
	}
	if got := strings.Count(page.String(), "<svg"); got != 3 {
		t.Errorf("plots: got %d, want 3", got)
	}
}
