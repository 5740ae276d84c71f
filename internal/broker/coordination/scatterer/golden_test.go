package scatterer

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/pkg/configurator"
)

var update = flag.Bool("update", false, "rewrite golden files")

// script runs one session from a script file; testdata/README.md describes the format.
type script struct {
	t       *testing.T
	fixture *fixture
	session *Session
	sent    map[string]*broker.SubRequest
	out     strings.Builder
	finish  int
}

// TestGoldenSessions compares whole sessions with golden files: what is sent to whom and when, and the answer.
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
		t.Errorf("got %d attempts outstanding after the answer, want 0", got)
	}
	stats, _ := json.Marshal(s.session.Stats())
	fmt.Fprintf(&s.out, "stats %s\n", stats)
	return s.out.String()
}

func (s *script) run(fields []string) {
	last := []byte(fields[len(fields)-1])
	switch fields[0] {
	case "setup":
		s.setup(last)
		return
	case "announce":
		s.fixture.announce(broker.ServerName(fields[1]), func(state *broker.ServerState) { s.decode(last, state) })
		return
	case "empty":
		for s.fixture.budgets.Kind("search").Hedges.TryWithdraw() || s.fixture.budgets.Kind("search").Retries.TryWithdraw() {
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
		s.answer(now, fields[2:])
	}
}

func (s *script) decode(text []byte, into any) {
	if err := json.Unmarshal(text, into); err != nil {
		s.t.Fatalf("could not read %s: %v", text, err)
	}
}

func (s *script) setup(text []byte) {
	var options struct {
		Shards, Replicas int
		Suspect          bool
		Quarantined      bool
		Fingerprint      broker.Fingerprint
		Routing          configurator.Routing
		Kind             configurator.RequestKind
	}
	options.Kind.HedgeBudget, options.Kind.RetryBudget = 0.1, 0.1
	s.decode(text, &options)
	s.fixture = newFixture(options.Shards, options.Replicas, options.Kind, options.Routing)
	for _, shard := range s.fixture.tracker.View().Service("index").Tracked {
		for range 32 {
			shard.Latency.Record(epoch, 10*time.Millisecond)
		}
	}
	request := Request{
		Query: broker.Query{RequestID: "r1", Limit: 3}, Fingerprint: options.Fingerprint,
		Suspect: options.Suspect, Quarantined: options.Quarantined,
	}
	request.Deadline = epoch.Add(200 * time.Millisecond)
	s.session = s.fixture.session(1, request, epoch)
}

// answer answers the attempt named by the first field; the rest may give an outcome and reason, or JSON fields to
// replace.
func (s *script) answer(now time.Time, fields []string) {
	sub := s.sent[fields[0]]
	if sub == nil {
		s.t.Fatalf("attempt %s was not sent", fields[0])
	}
	answer := reply(sub, broker.Hit{ID: string(sub.Shard), Score: 1}, broker.Hit{ID: string(sub.Server), Score: 0.5})
	switch len(fields) {
	case 2:
		s.decode([]byte(fields[1]), &answer)
	case 3:
		for answer.Outcome.String() != fields[1] {
			answer.Outcome++
		}
		answer.Reason = broker.Reason(fields[2])
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
