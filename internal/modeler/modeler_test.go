package modeler

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/pkg/configurator"
)

// loadScenario returns an embedded scenario with its length reduced.
func loadScenario(t *testing.T, name string, length time.Duration) *Scenario {
	t.Helper()
	scenario, err := Load(name)
	if err != nil {
		t.Fatal(err)
	}
	scenario.Length = configurator.Duration(length)
	return scenario
}

// TestCompare guards the ranking of the policies: extra attempts gain worth, no policy exceeds the ceiling, and sending
// through owners loses worth when hosts fail.
func TestCompare(t *testing.T) {
	tests := []struct {
		scenario  string
		length    time.Duration
		ownerLoss float64 // least loss of owner against direct in the worst windows, if above zero
	}{
		{scenario: "quiet", length: 20 * time.Second},
		{scenario: "load", length: 20 * time.Second},
		{scenario: "hostsKilled", length: 40 * time.Second, ownerLoss: 0.05},
		{scenario: "serversSilent", length: 20 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.scenario, func(t *testing.T) {
			t.Parallel()
			results := map[string]Result{}
			for _, result := range Compare(loadScenario(t, tt.scenario, tt.length), Policies(), 1, 2) {
				results[result.Policy] = result
			}
			plain, direct, owner, ceiling := results["plain"], results["direct"], results["owner"], results["ceiling"]
			if direct.Worth <= plain.Worth || direct.Worth > ceiling.Worth {
				t.Errorf("worth: got direct %.3f, want above plain %.3f and at most %.3f", direct.Worth, plain.Worth, ceiling.Worth)
			}
			if got := direct.WorstWindows - owner.WorstWindows; tt.ownerLoss > 0 && got < tt.ownerLoss {
				t.Errorf("worst windows: got direct %.3f above owner, want %.3f or more", got, tt.ownerLoss)
			}
			if limit := 0.2; direct.ExtraAttempts > limit {
				t.Errorf("extra attempts: got %.3f, want at most %.3f", direct.ExtraAttempts, limit)
			}
		})
	}
}

// TestSeedRepeats guards against simulations that differ between runs with the same seed.
func TestSeedRepeats(t *testing.T) {
	scenario := loadScenario(t, "hostsKilled", 15*time.Second)
	var got [2]Result
	for i := range got {
		got[i] = Compare(scenario, []Policy{{Name: "direct"}}, 7, 1)[0]
	}
	if got[0].Worth != got[1].Worth || got[0].ExtraAttempts != got[1].ExtraAttempts {
		t.Errorf("two runs with the same seed: got worth %v and %v, extra attempts %v and %v", got[0].Worth, got[1].Worth,
			got[0].ExtraAttempts, got[1].ExtraAttempts)
	}
}

// TestServer guards the server model: slots, queue, pauses and crashes.
func TestServer(t *testing.T) {
	type end struct {
		at      time.Duration
		outcome broker.Outcome
	}
	tests := []struct {
		name       string
		firstPause time.Duration
		crash      time.Duration
		jobs       []time.Duration // all arrive at once
		want       []end
	}{
		{
			name: "two slots", firstPause: 500 * time.Millisecond, jobs: []time.Duration{10 * time.Millisecond, 20 * time.Millisecond, 5 * time.Millisecond},
			want: []end{
				{10 * time.Millisecond, broker.OutcomeAnswered}, {20 * time.Millisecond, broker.OutcomeAnswered},
				{15 * time.Millisecond, broker.OutcomeAnswered},
			},
		},
		{
			name: "pause in between", firstPause: 5 * time.Millisecond, jobs: []time.Duration{10 * time.Millisecond},
			want: []end{{110 * time.Millisecond, broker.OutcomeAnswered}},
		},
		{
			name: "crash", firstPause: 500 * time.Millisecond, crash: 8 * time.Millisecond,
			jobs: []time.Duration{5 * time.Millisecond, 10 * time.Millisecond},
			want: []end{{5 * time.Millisecond, broker.OutcomeAnswered}, {8 * time.Millisecond, broker.OutcomeUnknown}},
		},
		{
			name: "queue full", firstPause: 500 * time.Millisecond, jobs: []time.Duration{time.Second, time.Second, time.Second, time.Second},
			want: []end{{}, {}, {}, {0, broker.OutcomeNotRun}},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := &clock{}
			scenario := &Scenario{
				Slots: 2, Queue: 1, Pause: configurator.Duration(100 * time.Millisecond), Period: configurator.Duration(time.Second),
			}
			s := &server{clock: c, scenario: scenario, firstPause: tt.firstPause, slotFreeAt: make([]time.Duration, 2), pending: map[*job]time.Duration{}, slowFactor: 1}
			got := make([]end, len(tt.jobs))
			for i, work := range tt.jobs {
				s.submit(&job{work: work, onEnd: func(outcome broker.Outcome, _ broker.Reason) { got[i] = end{c.now, outcome} }})
			}
			if tt.crash > 0 {
				c.after(tt.crash, s.crash)
			}
			c.runUntil(300 * time.Millisecond)
			for i := range got {
				if got[i] != tt.want[i] {
					t.Errorf("job %d: got %v, want %v", i, got[i], tt.want[i])
				}
			}
		})
	}
}

// TestParse guards the validation of scenarios: the error must list every invalid field with its path.
func TestParse(t *testing.T) {
	_, err := Parse([]byte(`{"name":"x","length":"1s","zones":[],"hosts":0,"kinds":[{"name":"k","rate":0}],"faults":[{"kind":"flood"}]}`))
	if err == nil {
		t.Fatal("got no error")
	}
	for _, want := range []string{"zones:", "hosts:", "kinds.0.rate:", "kinds.0.target:", "faults.0.kind:"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("got %q, want it to contain %q", err, want)
		}
	}
	if _, err := Parse([]byte(`{"nane":"x"}`)); err == nil {
		t.Error("unknown field: got no error")
	}
}

// TestReport guards the HTML page: a table, and plots that need no other files.
func TestReport(t *testing.T) {
	scenario := loadScenario(t, "quiet", 4*time.Second)
	var page bytes.Buffer
	if err := WriteReport(&page, scenario, Compare(scenario, Policies(), 1, 1)); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"<svg", "direct", "inspectorSweep", "Worth by time"} {
		if !strings.Contains(page.String(), want) {
			t.Errorf("page: want it to contain %q", want)
		}
	}
	if got := strings.Count(page.String(), "<svg"); got != 3 {
		t.Errorf("plots: got %d, want 3", got)
	}
}

// TestSimulateLimit guards against a server that gets more than it states that it takes, and against a limit of which
// nothing is used, while hosts are replaced.
func TestSimulateLimit(t *testing.T) {
	for _, c := range LimitCases([]int{7, 30}) {
		got := SimulateLimit(c, 1)
		if got.WorstWindow > got.Allowed || got.Used == 0 {
			t.Errorf("%+v: got %d requests in %s and %.2f used, want at most %d and some", c, got.WorstWindow, limitWindow,
				got.Used, got.Allowed)
		}
	}
}

// TestWriteLimitPlot guards against a plot without one of the limits, and a panic where there is nothing to draw.
func TestWriteLimitPlot(t *testing.T) {
	var image bytes.Buffer
	results := []LimitResult{
		{LimitCase: LimitCase{Hosts: 3, Limit: 1.2, Load: 3}, Used: 0.5, WorstWindow: 6, Allowed: 12},
		{LimitCase: LimitCase{Hosts: 3, Limit: 24, Load: 3}, Used: 0.8, WorstWindow: 90, Allowed: 149},
	}
	if err := WriteLimitPlot(&image, results); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"used, 1.2 a second", "window, 24 a second"} {
		if !strings.Contains(image.String(), want) {
			t.Errorf("plot: got no line %q", want)
		}
	}
	if err := WriteLimitPlot(&image, nil); err == nil {
		t.Error("plot of no results: got no error, want one")
	}
}
