package scatterer

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/pkg/configurator"
)

var update = flag.Bool("update", false, "rewrite golden files")

// script runs one session from lines of text; testdata/README.md describes them.
type script struct {
	t       *testing.T
	fixture *fixture
	session *Session
	sent    map[string]*broker.SubRequest
	out     strings.Builder
	finish  int
}

// TestGoldenSessions guards the whole course of sessions: what is sent to whom and when, and the answer.
func TestGoldenSessions(t *testing.T) {
	files, err := filepath.Glob("testdata/*.script")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scripts found: %v", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".script"), func(t *testing.T) {
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			got := runScript(t, string(text))
			golden := strings.TrimSuffix(file, ".script") + ".golden"
			if *update {
				if err := os.WriteFile(golden, []byte(got), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			want, err := os.ReadFile(golden)
			if err != nil {
				t.Fatal(err)
			}
			if got != string(want) {
				t.Errorf("got:\n%s\nwant:\n%s", got, want)
			}
		})
	}
}

func runScript(t *testing.T, text string) string {
	s := &script{t: t, sent: map[string]*broker.SubRequest{}}
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		fmt.Fprintln(&s.out, line)
		if fields := strings.Fields(line); len(fields) > 0 && fields[0] != "#" {
			s.run(fields)
		}
	}
	if s.finish != 1 {
		t.Errorf("got %d finishes, want 1", s.finish)
	}
	if got := s.fixture.outstanding(); got != 0 {
		t.Errorf("got %d attempts outstanding after the end, want 0", got)
	}
	stats, _ := json.Marshal(s.session.Stats())
	fmt.Fprintf(&s.out, "stats %s\n", stats)
	return s.out.String()
}

func (s *script) run(fields []string) {
	options := map[string]string{}
	for _, field := range fields {
		if name, value, ok := strings.Cut(field, "="); ok {
			options[name] = value
		}
	}
	switch fields[0] {
	case "setup":
		s.setup(options)
		return
	case "announce":
		s.fixture.announce(broker.ServerName(fields[1]), func(state *broker.ServerState) { s.change(state, options) })
		return
	case "empty":
		for s.fixture.budgets.Kind("search").Hedges.Spend() || s.fixture.budgets.Kind("search").Retries.Spend() {
		}
		return
	}
	offset, err := time.ParseDuration(fields[0])
	if err != nil {
		s.t.Fatalf("unknown line %q", fields)
	}
	now := epoch.Add(offset)
	switch fields[1] {
	case "start":
		s.print(s.session.Start(now))
	case "wake":
		s.print(s.session.Wake(now))
	case "abandon":
		s.print(s.session.Abandon(now))
	case "linkdown":
		if !slices.Contains(fields, "untracked") {
			s.fixture.tracker.OwnerDown(broker.NodeID(fields[2]))
		}
		s.print(s.session.LinkDown(now, broker.NodeID(fields[2])))
	case "answer":
		s.answer(now, fields[2], options)
	}
}

func (s *script) setup(options map[string]string) {
	number := func(name string) float64 {
		value, _ := strconv.ParseFloat(options[name], 64)
		return value
	}
	kind := configurator.RequestKind{
		Idempotent:    options["idempotent"] != "false",
		MinCoverage:   number("min"),
		HedgeQuantile: number("hedge"),
		HedgeBudget:   0.1,
		RetryBudget:   0.1,
		Canary:        configurator.Canary(options["canary"]),
	}
	s.fixture = newFixture(int(number("shards")), int(number("replicas")), kind,
		configurator.Routing(options["routing"]))
	for _, shard := range s.fixture.tracker.View().Service("index").Tracked {
		for range 32 {
			shard.Latency.Record(epoch, 10*time.Millisecond)
		}
	}
	request := Request{Query: broker.Query{RequestID: "r1", Limit: 3}, Deadline: epoch.Add(200 * time.Millisecond)}
	s.session = s.fixture.session(1, request, epoch)
}

func (s *script) change(state *broker.ServerState, options map[string]string) {
	for name, value := range options {
		switch number, _ := strconv.Atoi(value); name {
		case "owner":
			state.Owner = broker.NodeID(value)
		case "phase":
			state.Phase = broker.Phase(value)
		case "limit":
			state.Limit = number
		case "partitioning":
			state.Partitioning = uint64(number)
		case "snapshots":
			state.Snapshots = nil
			for _, snapshot := range strings.Split(value, ",") {
				number, _ := strconv.Atoi(snapshot)
				state.Snapshots = append(state.Snapshots, broker.Snapshot(number))
			}
		}
	}
}

// answer replies to the attempt "shard/number", with the fields that options change.
func (s *script) answer(now time.Time, attempt string, options map[string]string) {
	sub := s.sent[attempt]
	if sub == nil {
		s.t.Fatalf("attempt %s was not sent", attempt)
	}
	answer := reply(sub, broker.Hit{ID: string(sub.Shard), Score: 1}, broker.Hit{ID: string(sub.Server), Score: 0.5})
	outcomes := []string{"", "answered", "notRun", "outcomeUnknown", "failed"}
	for name, value := range options {
		switch number, _ := strconv.Atoi(value); name {
		case "outcome":
			answer.Outcome = broker.Outcome(slices.Index(outcomes, value))
		case "reason":
			answer.Reason = broker.Reason(value)
		case "snapshot":
			answer.Snapshot = broker.Snapshot(number)
		case "partitioning":
			answer.Partitioning = uint64(number)
		case "attempt":
			answer.Attempt = uint32(number)
		case "server":
			answer.Server = broker.ServerName(value)
		case "shard":
			answer.Shard = broker.ShardName(value)
		case "request":
			answer.RequestID = value
		}
	}
	s.print(s.session.Answer(now, &answer))
}

func (s *script) print(actions Actions) {
	for _, send := range actions.Sends {
		sub := send.Sub
		s.sent[fmt.Sprintf("%s/%d", sub.Shard, sub.Attempt)] = sub
		fmt.Fprintf(&s.out, "\tsend %s %s/%d server=%s snapshot=%d partitioning=%d remaining=%s\n", send.Owner,
			sub.Shard, sub.Attempt, sub.Server, sub.Snapshot, sub.Partitioning, sub.Remaining)
	}
	for _, cancel := range actions.Cancels {
		fmt.Fprintf(&s.out, "\tcancel %s %s/%d\n", cancel.Owner, cancel.Cancel.Shard, cancel.Cancel.Attempt)
	}
	if !actions.WakeAt.IsZero() {
		fmt.Fprintf(&s.out, "\twakeAt %s\n", actions.WakeAt.Sub(epoch))
	}
	if actions.Finish != nil {
		s.finish++
		answer, _ := json.Marshal(actions.Finish)
		fmt.Fprintf(&s.out, "\tfinish %s\n", answer)
	}
}
