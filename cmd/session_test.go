package cmd

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/transport/storer"
	"github.com/yuccarock/yuccarock/internal/standin/storeserver"
	"github.com/yuccarock/yuccarock/pkg/caller"
	"github.com/yuccarock/yuccarock/pkg/configurator"
)

var update = flag.Bool("update", false, "rewrite the golden file")

// testEnvironment holds the fakes that the commands of one session use.
type testEnvironment struct {
	t            *testing.T
	store        *storeserver.Server
	nodes        map[string]broker.NodeStatus // by entry address
	nodesCurrent bool                         // whether all nodes have the current revision in force
	beforePut    func() error                 // if set, runs before each write; an error replaces the write
	queryAnswer  caller.Answer
	queryErr     error
	submissions  int
}

type fixedClock struct{}

func (fixedClock) Now() time.Time { return time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC) }

// Status returns the status of a fake node.
func (s *testEnvironment) Status(_ context.Context, entry netip.AddrPort) (broker.NodeStatus, error) {
	status, ok := s.nodes[entry.String()]
	if !ok {
		return status, errors.New("connection refused")
	}
	if s.nodesCurrent {
		_, version := s.store.Current(configKey)
		status.Revision = broker.Revision(version)
	}
	return status, nil
}

// hookedStore runs beforePut between the read and the write of a command.
type hookedStore struct {
	Store
	env *testEnvironment
}

func (h *hookedStore) PutSettled(ctx context.Context, key string, value []byte, version uint64,
	submission func([]byte) string) (uint64, error) {
	if h.env.beforePut != nil {
		if err := h.env.beforePut(); err != nil {
			return 0, err
		}
	}
	return h.Store.PutSettled(ctx, key, value, version, submission)
}

func (s *testEnvironment) dependencies() Dependencies {
	return Dependencies{
		OpenStore: func(url string) (Store, error) {
			store, err := openStore(url)
			return &hookedStore{Store: store, env: s}, err
		},
		Nodes: s,
		Query: func(_ context.Context, _ []netip.AddrPort, query caller.Query) (caller.Answer, error) {
			s.queryAnswer.RequestID = query.RequestID
			return s.queryAnswer, s.queryErr
		},
		NewID:        func() (string, error) { s.submissions++; return fmt.Sprint("submission-", s.submissions), nil },
		PollInterval: time.Millisecond,
	}
}

// editConcurrently makes another operator's change between the read and the write of the next command.
func (s *testEnvironment) editConcurrently(edit func(*configurator.Config)) {
	s.beforePut = func() error {
		s.beforePut = nil
		value, _ := s.store.Current(configKey)
		config, err := configurator.Parse(value)
		if err != nil {
			return err
		}
		edit(config)
		config.SubmissionID = "other"
		data, err := configurator.Canonical(config)
		s.store.Put(configKey, data)
		return err
	}
}

func (s *testEnvironment) addNodes() {
	members := []broker.Member{
		{ID: "n1/a", Zone: "a", Entry: netip.MustParseAddrPort("192.0.2.11:80")},
		{ID: "n2/a", Zone: "b", Entry: netip.MustParseAddrPort("192.0.2.12:80")},
		{ID: "n3/a", Zone: "b", Entry: netip.MustParseAddrPort("192.0.2.13:80")},
	}
	warm := broker.ServerState{Server: "s1", Phase: broker.PhaseWarm, Limit: 2, Owner: "n1/a", Sequence: 4}
	stale := broker.ServerState{Server: "s1", Phase: broker.PhaseCold, Limit: 1, Owner: "n1/a", Sequence: 3}
	cold := broker.ServerState{Server: "s2", Phase: broker.PhaseCold, Limit: 1, Owner: "n2/a", InFlight: 1}
	for i, member := range members {
		status := broker.NodeStatus{Node: member.ID, Zone: member.Zone, State: "serving", Generation: 3, Members: members,
			Servers:  []broker.ServerState{stale, cold},
			Coverage: []broker.ServiceCoverage{{Service: "search", ShardsTotal: 2, ShardsAvailable: 2 - i%2}}}
		if i == 0 {
			byFormerOwner := broker.ServerState{Server: "s2", Phase: broker.PhaseWarm, Owner: "n0/a", Sequence: 9}
			status.Servers = []broker.ServerState{warm, byFormerOwner}
		}
		s.nodes[member.Entry.String()] = status
	}
	s.nodesCurrent = true
}

// steps returns the session in testdata/session.golden: command lines, each with an optional function to run before it.
func (s *testEnvironment) steps() []struct {
	prepare func()
	args    string
} {
	outcomeUnknown := &storer.Error{Op: "put", Kind: storer.KindUnknownOutcome, Err: errors.New("no reply")}
	partial := caller.Answer{Status: caller.StatusPartial, Snapshot: 7, Revision: 3,
		Coverage: caller.Coverage{ShardsTotal: 2, ShardsAnswered: 1,
			Missing: []caller.MissingShard{{Shard: "1", Reason: "cold"}}},
		Hits: []caller.Hit{{ID: "h", Score: 0.5, Shard: "0"}}}
	query := "query --entry 192.0.2.11:80 --kind search --id r1"
	return []struct {
		prepare func()
		args    string
	}{
		{nil, "config check testdata/site.json"},
		{nil, "config check testdata/site.json --json"},
		{nil, "config check testdata/invalid.json"},
		{nil, "config check testdata/invalid.json --json"},
		{nil, "config check"},
		{nil, "config chek"},
		{nil, "config check --nosuch x"},
		{nil, "config show STORE"},
		{nil, "zone out b STORE"},
		{nil, "config submit testdata/site.json"},
		{nil, "config submit testdata/site.json --wait 1s STORE"},
		{nil, "config submit testdata/invalid.json STORE"},
		{nil, "config submit testdata/site.json STORE"},
		{nil, "config submit testdata/site.json STORE --json"},
		{s.addNodes, "zone out b --wait 10s --entry 192.0.2.11:80 STORE"},
		{nil, "zone out b STORE"},
		{nil, "zone out nosuch STORE"},
		{nil, "zone out a STORE"},
		{nil, "zone out a --allow-all-zones-out STORE"},
		{nil, "zone in a STORE --json"},
		{nil, "config submit testdata/changed.json STORE"},
		{nil, "config submit testdata/changed.json --keep-states --replace-states STORE"},
		{nil, "config submit testdata/changed.json --keep-states STORE"},
		{nil, "config submit testdata/site.json --keep-states --revision 1 STORE"},
		{func() { s.store.SetFaults(storeserver.Faults{LoseReplies: 1}) }, "server drain s1 STORE"},
		{func() {
			s.editConcurrently(func(c *configurator.Config) { _, _ = configurator.SetDraining(c, "s1", false) })
		}, "zone in b STORE"},
		{nil, "config show STORE"},
		{func() {
			s.editConcurrently(func(c *configurator.Config) { _, _ = configurator.SetDraining(c, "s2", true) })
		}, "config submit testdata/site.json STORE"},
		{func() { s.beforePut = func() error { return outcomeUnknown } }, "server drain s2 --undo STORE"},
		{func() { s.beforePut = nil; s.store.SetFaults(storeserver.Faults{Down: true}) }, "server drain s2 --undo STORE"},
		{nil, "config history STORE --json"},
		{func() { s.store.SetFaults(storeserver.Faults{}) }, "server drain s2 --undo STORE"},
		{nil, "config history --last 3 STORE"},
		{nil, "config show --revision 1 --json STORE"},
		{nil, "config show --revision 99 STORE"},
		{nil, "status --entry 192.0.2.99:80 --entry 192.0.2.12:80"},
		{func() {
			s.nodesCurrent = false
			delete(s.nodes, "192.0.2.13:80")
			behind := s.nodes["192.0.2.12:80"]
			behind.Revision = 4
			s.nodes["192.0.2.12:80"] = behind
			ahead := s.nodes["192.0.2.11:80"]
			ahead.Revision = 99
			s.nodes["192.0.2.11:80"] = ahead
		}, "zone in b --wait 50ms --entry 192.0.2.11:80 STORE"},
		{nil, "zone in b --wait 50ms --entry 192.0.2.11:80 STORE --json"},
		{nil, "status --entry 192.0.2.11:80"},
		{func() {
			status := s.nodes["192.0.2.11:80"]
			for i := range 25 {
				state := broker.ServerState{Server: broker.ServerName(fmt.Sprintf("t%02d", i)), Phase: broker.PhaseDraining}
				if i == 20 {
					state.Phase = broker.PhaseDown
				}
				status.Servers = append(status.Servers, state)
			}
			s.nodes["192.0.2.11:80"] = status
		}, "status --entry 192.0.2.11:80"},
		{nil, "status --entry 192.0.2.99:80"},
		{nil, "status --entry nowhere"},
		{func() { s.queryAnswer = partial }, query},
		{nil, query + " --json"},
		{func() { s.queryAnswer = caller.Answer{Status: caller.StatusNotRun, Reason: "overloaded"} }, query},
		{func() { s.queryAnswer = caller.Answer{Status: caller.StatusOutcomeUnknown, Reason: "silent"} }, query},
		{func() {
			s.queryErr = &caller.Error{Op: "send query", Kind: caller.KindInvalid, Err: errors.New("unknown kind")}
		}, query},
		{nil, query + " --body {"},
	}
}

// Guards against a command without help, examples or JSON output.
func TestEveryCommandIsDocumented(t *testing.T) {
	root := New("1.2.3", DefaultDependencies())
	err := root.Walk(func(c *cli.Command) error {
		if c.Usage == "" || c.Description == "" {
			t.Errorf("%q has no help", c.Name)
		}
		if len(c.Commands) > 0 {
			return nil
		}
		if !strings.Contains(c.Description, "  yuccarock ") && !strings.Contains(c.Description, "| yuccarock ") {
			t.Errorf("%q has no example", c.Name)
		}
		if !slices.ContainsFunc(c.Flags, func(f cli.Flag) bool { return slices.Contains(f.Names(), flagJSON) }) {
			t.Errorf("%q has no --%s", c.Name, flagJSON)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

// Guards against a wrong exit code or result of any command, above all a reported success that the store did not
// confirm, a change that undoes another operator's, and a submitted file that unintentionally reverts a state.
func TestSession(t *testing.T) {
	s := &testEnvironment{t: t, store: storeserver.New(fixedClock{}), nodes: make(map[string]broker.NodeStatus)}
	server := httptest.NewServer(s.store)
	defer server.Close()
	var session bytes.Buffer
	for _, step := range s.steps() {
		if step.prepare != nil {
			step.prepare()
		}
		root := New("1.2.3", s.dependencies())
		var stdout, stderr bytes.Buffer
		root.Writer, root.ErrWriter = &stdout, &stderr
		line := "yuccarock " + strings.ReplaceAll(step.args, "STORE", "--store="+server.URL)
		code := Run(t.Context(), root, strings.Fields(line))
		fmt.Fprintf(&session, "$ yuccarock %s\n%s", step.args, stdout.String())
		for _, line := range strings.SplitAfter(stderr.String(), "\n") {
			if line != "" {
				fmt.Fprintf(&session, "! %s", line)
			}
		}
		fmt.Fprintf(&session, "exit %d\n\n", code)
	}
	const golden = "testdata/session.golden"
	got := strings.ReplaceAll(session.String(), server.URL, "STORE")
	if *update {
		if err := os.WriteFile(golden, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(golden)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("got %s\nwant %s", got, want)
	}
}
