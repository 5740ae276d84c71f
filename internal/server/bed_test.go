package server_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/yuccarock/yuccarock/cmd"
	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/standin/testbed"
	"github.com/yuccarock/yuccarock/pkg/caller"
	"github.com/yuccarock/yuccarock/pkg/configurator"
)

// Bounds of the design page.
const (
	inForceBound = 5 * time.Second
	zoneOutBound = 3 * time.Second
	leavingBound = 2 * time.Second
	// takeoverBound is 2 s of detection, 2.1 s of lease and the longest attempt timeout, that of a report; the last
	// second is for what the page leaves out: a heartbeat, the first status probe after the pause and its announcement.
	takeoverBound = 2*time.Second + 2100*time.Millisecond + time.Second + time.Second
	// patience ends a wait that no bound applies to.
	patience = 20 * time.Second
)

// running bounds the systems that run at once: more of them would only wait for each other, and miss their bounds.
var running = make(chan struct{}, 5)

// bed is a system under test.
type bed struct {
	*testing.T
	*testbed.System
	caller *caller.Client

	mu      sync.Mutex
	results []testbed.Result
}

// start starts a system with one daemon in each of three zones and puts its configuration in force.
func start(t *testing.T, change func(*testbed.Settings)) *bed {
	t.Helper()
	t.Parallel()
	running <- struct{}{}
	t.Cleanup(func() { <-running })
	settings := testbed.Settings{
		Zones: []string{"a", "b", "c"}, NodesPerZone: 1, SearchShards: 8, IntakeShards: 3, ColdSuccesses: 1,
		ServiceTime: 5 * time.Millisecond, MinCoverage: 0.5, Canary: configurator.CanaryNever,
		Logger: slog.New(slog.DiscardHandler),
	}
	if change != nil {
		change(&settings)
	}
	system, err := testbed.Start(t.Context(), settings)
	if err != nil {
		t.Fatal(err)
	}
	b := &bed{T: t, System: system}
	t.Cleanup(func() {
		for _, n := range b.Nodes() {
			n.Kill()
			t.Cleanup(func() { _ = n.Wait() })
		}
		b.CloseStandins()
	})
	if b.caller, err = caller.New(b.Entries(), caller.Options{}); err != nil {
		t.Fatal(err)
	}
	revision, err := b.SubmitConfig(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	b.within(inForceBound, "first configuration in force", b.ConfigAdopted(revision))
	b.within(patience, "every shard covered", b.AllShardsAvailable)
	return b
}

// within fails the test unless a state is reached in time.
func (b *bed) within(limit time.Duration, what string, reached func() bool) {
	b.Helper()
	if err := b.WaitUntil(b.Context(), what, limit, reached); err != nil {
		b.Fatal(err)
	}
}

// load sends queries until the returned function is called, which returns their results. Each sum of coverage and
// each hit has been checked by then, and every report has run once, or not at all where it was refused.
func (b *bed) load(reportEvery uint64) (stop func() []testbed.Result) {
	l := &testbed.Load{Client: b.caller, Callers: 4, Interval: 25 * time.Millisecond, ReportEvery: reportEvery,
		OnResult: func(r testbed.Result) {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.results = append(b.results, r)
		}}
	ctx, cancel := context.WithCancel(b.Context())
	var running sync.WaitGroup
	running.Go(func() { l.Run(ctx) })
	stop = sync.OnceValue(func() []testbed.Result {
		cancel()
		running.Wait()
		for i := range b.results {
			b.check(&b.results[i])
		}
		return b.results
	})
	b.Cleanup(func() { stop() })
	return stop
}

// sent returns how many queries have ended.
func (b *bed) sent() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.results)
}

// serve waits until so many more queries have ended.
func (b *bed) serve(queries int) {
	b.Helper()
	begin := b.sent()
	b.within(patience, "more queries", func() bool { return b.sent() >= begin+queries })
}

// serveAfter waits until some queries have ended that began after a time.
func (b *bed) serveAfter(begin time.Time) {
	b.Helper()
	b.within(patience, "queries after a bound", func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return len(b.results) > 20 && b.results[len(b.results)-20].Start.After(begin)
	})
}

// operate runs one of the operators' commands and returns its exit code and output.
func (b *bed) operate(args ...string) (int, string) {
	var out bytes.Buffer
	root := cmd.New("test", cmd.DefaultDependencies())
	root.Writer, root.ErrWriter = &out, &out
	args = append(append([]string{"yuccarock"}, args...), "--store", b.StoreURL)
	return cmd.Run(b.Context(), root, args), out.String()
}

// check fails the test where a result states what did not happen at the backend servers.
func (b *bed) check(r *testbed.Result) {
	b.Helper()
	if r.Query.Kind == testbed.SearchKind {
		if err := b.CheckSearch(&r.Query, &r.Answer); r.Err == nil && err != nil {
			b.Error(err)
		}
		return
	}
	runs, outcome := b.Executions(r.Query.RequestID), describe(r)
	if runs > 1 || answered(r) && runs != 1 || notRun(r) && runs != 0 {
		b.Errorf("report %s: got %d executions with %s", r.Query.RequestID, runs, outcome)
	}
}

func answered(r *testbed.Result) bool {
	return r.Err == nil && (r.Answer.Status == caller.StatusComplete || r.Answer.Status == caller.StatusPartial)
}

func notRun(r *testbed.Result) bool {
	return r.Err != nil && kindOf(r.Err) == caller.KindNotRun || r.Err == nil && r.Answer.Status == caller.StatusNotRun
}

func kindOf(err error) caller.Kind {
	var typed *caller.Error
	if errors.As(err, &typed) {
		return typed.Kind
	}
	return ""
}

func describe(r *testbed.Result) string {
	return fmt.Sprintf("%s at %s status %q reason %q missing %v error %v after %s", r.Query.Kind,
		r.Start.Format("05.000"), r.Answer.Status, r.Answer.Reason, r.Answer.Coverage.Missing, r.Err, r.Elapsed)
}

// wantAnswers fails the test for each result without an answer that tolerated does not name.
func (b *bed) wantAnswers(results []testbed.Result, tolerated func(*testbed.Result) bool) {
	b.Helper()
	if len(results) == 0 {
		b.Error("no query was sent")
	}
	failed := 0
	for i := range results {
		if r := &results[i]; !answered(r) && !tolerated(r) {
			if failed++; failed <= 3 {
				b.Errorf("not answered: %s", describe(r))
			}
		}
	}
	if failed > 0 {
		b.Errorf("not answered: %d of %d queries", failed, len(results))
	}
}

func none(*testbed.Result) bool { return false }

// refusedReport tolerates a report that was refused as notRun.
func refusedReport(r *testbed.Result) bool { return r.Query.Kind == testbed.IntakeKind && notRun(r) }

// claimable waits until a report is accepted at the claim point of every shard, which fences request IDs at first.
func (b *bed) claimable() {
	b.Helper()
	number := uint64(0)
	b.within(patience, "reports accepted", func() bool {
		for range 4 * b.Settings.IntakeShards {
			number++
			r := testbed.Result{Query: testbed.Report(number)}
			if r.Answer, r.Err = b.caller.Query(b.Context(), r.Query); !answered(&r) {
				return false
			}
		}
		return true
	})
}

// warm runs queries until every daemon knows every server as warm.
func (b *bed) warm() {
	b.Helper()
	stop := b.load(2)
	b.within(patience, "every server warm", b.AllServersWarm)
	stop() // refusals are due as long as owners begin
	b.results = nil
}

// owned returns the servers that every daemon takes to be owned by id.
func (b *bed) owned(id broker.NodeID) []broker.ServerName {
	var names []broker.ServerName
	for _, state := range b.Nodes()[0].Server.Status().Servers {
		if state.Owner == id {
			names = append(names, state.Server)
		}
	}
	return names
}

// phases counts the servers by the phase that the first daemon knows.
func (b *bed) phases(servers []broker.ServerName) map[broker.Phase]int {
	counts := make(map[broker.Phase]int)
	for _, state := range b.Nodes()[0].Server.Status().Servers {
		if slices.Contains(servers, state.Server) {
			counts[state.Phase]++
		}
	}
	return counts
}

// takenOver fails the test unless the servers of a daemon that was just killed have new owners in time.
func (b *bed) takenOver(servers []broker.ServerName) {
	b.Helper()
	begin := time.Now()
	defer func() { b.Logf("servers usable again after %s", time.Since(begin)) }()
	if err := b.WaitUntil(b.Context(), "new owners", takeoverBound, b.reowned(servers)); err != nil {
		b.Errorf("%v; known are\n%s", err, b.describeOwners(servers))
	}
}

// describeOwners returns what each daemon knows of the servers.
func (b *bed) describeOwners(servers []broker.ServerName) string {
	var text strings.Builder
	for _, n := range b.Nodes() {
		for _, state := range n.Server.Status().Servers {
			if slices.Contains(servers, state.Server) {
				fmt.Fprintf(&text, "%s: %s owner %s phase %s\n", n.Name, state.Server, state.Owner, state.Phase)
			}
		}
	}
	return text.String()
}

// reowned returns whether every daemon knows a live owner and a usable phase of each of the servers.
func (b *bed) reowned(servers []broker.ServerName) func() bool {
	return func() bool {
		live := make(map[broker.NodeID]bool)
		for _, n := range b.Nodes() {
			live[n.Server.ID()] = true
		}
		for _, n := range b.Nodes() {
			for _, state := range n.Server.Status().Servers {
				usable := state.Phase != broker.PhaseUnknown && state.Phase != broker.PhaseDown
				if slices.Contains(servers, state.Server) && (!live[state.Owner] || !usable) {
					return false
				}
			}
		}
		return true
	}
}
