package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
)

// testTimeout limits the queries and waits of a test, so that a hanging test fails.
const testTimeout = 20 * time.Second

// fakeSystem is a set of fake entries that serve the same list of entries and record the request IDs that they receive.
type fakeSystem struct {
	t            *testing.T
	mu           sync.Mutex
	entries      []*fakeEntry
	timeToLive   string
	clockOffset  time.Duration // the clock of the system minus the local clock
	resolveCount int
	requestIDs   []string     // in order of arrival
	receivers    []*fakeEntry // of the requests in requestIDs
}

type fakeEntry struct {
	*httptest.Server
	address netip.AddrPort
	zone    string
	mu      sync.Mutex
	handle  func(w http.ResponseWriter, r *http.Request, id string)
}

func newFakeSystem(t *testing.T) *fakeSystem {
	return &fakeSystem{t: t, timeToLive: "1s"}
}

func (f *fakeSystem) add(zone string, handle func(http.ResponseWriter, *http.Request, string)) *fakeEntry {
	e := &fakeEntry{zone: zone, handle: handle}
	e.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { f.serve(e, w, r) }))
	e.address = netip.MustParseAddrPort(e.Listener.Addr().String())
	f.t.Cleanup(func() {
		e.CloseClientConnections()
		e.Close()
	})
	f.mu.Lock()
	f.entries = append(f.entries, e)
	f.mu.Unlock()
	return e
}

func (f *fakeSystem) serve(e *fakeEntry, w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/entries" {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.resolveCount++
		var entries []map[string]string
		for _, listed := range f.entries {
			entries = append(entries, map[string]string{"address": listed.address.String(), "zone": listed.zone})
		}
		json.NewEncoder(w).Encode(map[string]any{"entries": entries, "timeToLive": f.timeToLive, "revision": 7,
			"now": time.Now().Add(f.clockOffset).Format(time.RFC3339Nano)})
		return
	}
	var query Query
	body, _ := io.ReadAll(r.Body)
	json.Unmarshal(body, &query)
	f.mu.Lock()
	f.requestIDs, f.receivers = append(f.requestIDs, query.RequestID), append(f.receivers, e)
	f.mu.Unlock()
	e.mu.Lock()
	handle := e.handle
	e.mu.Unlock()
	handle(w, r, query.RequestID)
}

func (f *fakeSystem) receivedIDs() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.requestIDs)
}

func (f *fakeSystem) client(options Options) *Client {
	f.mu.Lock()
	defer f.mu.Unlock()
	var seeds []netip.AddrPort
	for _, e := range f.entries {
		seeds = append(seeds, e.address)
	}
	client, err := New(seeds, options)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(client.Close)
	return client
}

// respond returns a handler that answers with the status, the reason and the entries.
func respond(code int, status Status, reason string,
	entries ...string) func(http.ResponseWriter, *http.Request, string) {
	return func(w http.ResponseWriter, _ *http.Request, id string) {
		w.WriteHeader(code)
		json.NewEncoder(w).Encode(Answer{RequestID: id, Status: status, Reason: reason, Entries: entries})
	}
}

var respondComplete = respond(200, StatusComplete, "")

// dropConnection closes the connection without an answer after the query was read.
func dropConnection(http.ResponseWriter, *http.Request, string) { panic(http.ErrAbortHandler) }

// TestReplacementOfEveryEntry guards against queries that fail or run under a second request ID while the entries are
// replaced one after another, with and without a refusal that announces it.
func TestReplacementOfEveryEntry(t *testing.T) {
	f := newFakeSystem(t)
	f.timeToLive = "100ms"
	for range 3 {
		f.add("a", respondComplete)
	}
	client := f.client(Options{Timeout: testTimeout})
	ctx, stop := context.WithCancel(t.Context())
	answered := make(chan struct{})
	var workers sync.WaitGroup
	for range 8 {
		workers.Go(func() {
			for ctx.Err() == nil {
				answer, err := client.Query(t.Context(), Query{Kind: "search"})
				if err != nil || answer.Status != StatusComplete {
					t.Errorf("got answer %+v, error %v, want a complete answer", answer, err)
				}
				select {
				case answered <- struct{}{}:
				case <-ctx.Done():
				}
			}
		})
	}
	for round := range 3 {
		replacement := f.add("a", respondComplete)
		f.mu.Lock()
		old := f.entries[0]
		f.entries = f.entries[1:]
		f.mu.Unlock()
		if round%2 == 0 {
			old.mu.Lock()
			old.handle = respond(503, StatusNotRun, reasonLeaving, replacement.address.String())
			old.mu.Unlock()
		}
		for range 100 {
			<-answered
		}
		old.CloseClientConnections()
		old.Close()
		for range 100 {
			<-answered
		}
	}
	stop()
	workers.Wait()
}

// TestSilentConnection guards against a query that waits for a silent connection, leaves it open or is sent again with
// another request ID.
func TestSilentConnection(t *testing.T) {
	f := newFakeSystem(t)
	closed := make(chan struct{})
	var once sync.Once
	silentOnce := func(w http.ResponseWriter, r *http.Request, id string) {
		silent := false
		once.Do(func() { silent = true })
		if !silent {
			respondComplete(w, r, id)
			return
		}
		<-r.Context().Done()
		close(closed)
	}
	f.add("a", silentOnce)
	f.add("a", silentOnce)
	client := f.client(Options{Silence: 20 * time.Millisecond, Timeout: 2 * testTimeout})
	answer, err := client.Query(t.Context(), Query{Kind: "search"})
	if err != nil || answer.Status != StatusComplete {
		t.Errorf("got answer %+v, error %v, want a complete answer", answer, err)
	}
	select {
	case <-closed:
	case <-time.After(testTimeout):
		t.Error("the silent connection is still open")
	}
	if ids := f.receivedIDs(); len(ids) != 2 || ids[0] != ids[1] {
		t.Errorf("got request IDs %v, want one ID twice", ids)
	}
}

// TestNotRunWithNewAddresses guards against ignoring the addresses in a refusal, or using them for one query only.
func TestNotRunWithNewAddresses(t *testing.T) {
	f := newFakeSystem(t)
	f.timeToLive = "1m"
	old := f.add("a", nil)
	client := f.client(Options{Timeout: testTimeout})
	next := f.add("a", respondComplete)
	f.mu.Lock()
	f.entries = f.entries[:1]
	f.mu.Unlock()
	old.handle = respond(503, StatusNotRun, reasonZoneOut, next.address.String(), "nonsense")
	for i, want := range []int{2, 3} {
		answer, err := client.Query(t.Context(), Query{Kind: "search"})
		if err != nil || answer.Status != StatusComplete {
			t.Fatalf("got answer %+v, error %v, want a complete answer", answer, err)
		}
		if got := len(f.receivedIDs()); got != want {
			t.Errorf("query %d: got %d requests so far, want %d", i, got, want)
		}
		// A refresh must not return the old entry again.
		f.mu.Lock()
		f.entries = []*fakeEntry{next}
		f.mu.Unlock()
	}
}

// TestVerdicts guards against a wrong status of a query, above all notRun after an attempt that may have run, and
// against resends that are unlimited, unnecessary or have another request ID.
func TestVerdicts(t *testing.T) {
	type handler = func(http.ResponseWriter, *http.Request, string)
	overloaded, leaving := respond(503, StatusNotRun, "overloaded"), respond(503, StatusNotRun, reasonLeaving)
	refuseUnread := func(w http.ResponseWriter, r *http.Request, _ string) { overloaded(w, r, "") }
	unknown := respond(504, StatusOutcomeUnknown, "silent")
	duplicate := respond(504, StatusOutcomeUnknown, reasonDuplicate)
	wrongID := func(w http.ResponseWriter, r *http.Request, _ string) { respondComplete(w, r, "another") }
	noStatus := func(w http.ResponseWriter, r *http.Request, id string) {
		recorded := httptest.NewRecorder()
		respondComplete(recorded, r, id)
		if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
			fmt.Fprintf(c, "HTTP/1.1 000 OK\r\nContent-Length: %d\r\n\r\n%s", recorded.Body.Len(), recorded.Body)
			_ = c.Close()
		}
	}
	invalid := func(w http.ResponseWriter, _ *http.Request, _ string) {
		w.WriteHeader(http.StatusBadRequest)
		fmt.Fprint(w, `{"error":{"kind":"invalid","message":"unknown kind"}}`)
	}
	tests := []struct {
		name     string
		handlers []handler // one for each attempt
		status   Status
		kind     Kind
		attempts int
	}{
		{"partial", []handler{respond(200, StatusPartial, "")}, StatusPartial, "", 1},
		{"too few shards", []handler{respond(503, StatusInsufficientCoverage, "")}, StatusInsufficientCoverage, "", 1},
		{"refused every time", []handler{overloaded, overloaded, overloaded}, StatusNotRun, "", 3},
		{"refused before the request ID was read", []handler{refuseUnread, refuseUnread, refuseUnread}, StatusNotRun, "", 3},
		{"refused once", []handler{overloaded, respondComplete}, StatusComplete, "", 2},
		{"connection lost, then refused", []handler{dropConnection, leaving, leaving}, StatusOutcomeUnknown, "", 3},
		{"connection lost, then answered", []handler{dropConnection, respondComplete}, StatusComplete, "", 2},
		{"connection lost every time", []handler{dropConnection, dropConnection, dropConnection}, "", KindOutcomeUnknown, 3},
		{"connection lost, still running, answered", []handler{dropConnection, duplicate, respondComplete},
			StatusComplete, "", 3},
		{"unknown", []handler{unknown}, StatusOutcomeUnknown, "", 1},
		{"quarantined", []handler{respond(503, StatusNotRun, reasonQuarantined)}, StatusNotRun, "", 1},
		{"connection lost, then quarantined", []handler{dropConnection, respond(503, StatusNotRun, reasonQuarantined)},
			StatusOutcomeUnknown, "", 2},
		{"malformed", []handler{invalid}, "", KindInvalid, 1},
		{"answer without a status", []handler{noStatus, respondComplete}, StatusComplete, "", 2},
		{"answer to another request", []handler{wrongID, respondComplete}, StatusComplete, "", 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFakeSystem(t)
			handleAttempt := func(w http.ResponseWriter, r *http.Request, id string) {
				index := len(f.receivedIDs()) - 1
				if index >= len(test.handlers) {
					t.Errorf("unexpected attempt %d", index+1)
					return
				}
				test.handlers[index](w, r, id)
			}
			f.add("a", handleAttempt)
			f.add("a", handleAttempt)
			answer, err := f.client(Options{Attempts: 3, Timeout: testTimeout}).Query(t.Context(), Query{Kind: "search"})
			var typed *Error
			if errors.As(err, &typed); answer.Status != test.status || (err != nil) != (test.kind != "") ||
				typed != nil && typed.Kind != test.kind {
				t.Errorf("got status %q, error %v, want status %q, error kind %q", answer.Status, err, test.status, test.kind)
			}
			ids := f.receivedIDs()
			if len(ids) != test.attempts || len(slices.Compact(ids)) != 1 {
				t.Errorf("got request IDs %v, want %d equal ones", ids, test.attempts)
			}
			if len(ids) > 1 && f.receivers[0] == f.receivers[1] {
				t.Error("the query was sent again to the same entry")
			}
		})
	}
}

// TestFailedEntryIsAvoided guards against using an entry that has just lost a connection as often as the others.
func TestFailedEntryIsAvoided(t *testing.T) {
	f := newFakeSystem(t)
	f.timeToLive = "1m"
	failing := f.add("a", dropConnection)
	f.add("a", respondComplete)
	client := f.client(Options{Timeout: testTimeout})
	for range 40 {
		client.Query(t.Context(), Query{Kind: "search"})
	}
	lost := 0
	for _, e := range f.receivers {
		if e == failing {
			lost++
		}
	}
	if lost > 1 {
		t.Errorf("got %d lost connections in 40 queries, want 1", lost)
	}
}

// TestHandoverCostsNoBudget guards against a planned change of owner that uses up the resend tokens, so that queries
// fail.
func TestHandoverCostsNoBudget(t *testing.T) {
	f := newFakeSystem(t)
	refused := make(map[string]bool)
	f.add("a", func(w http.ResponseWriter, r *http.Request, id string) {
		f.mu.Lock()
		first := !refused[id]
		refused[id] = true
		f.mu.Unlock()
		if first {
			respond(503, StatusNotRun, reasonNotOwner)(w, r, id)
			return
		}
		respondComplete(w, r, id)
	})
	client := f.client(Options{Timeout: testTimeout})
	for i := range 3 * maxResendTokens {
		answer, err := client.Query(t.Context(), Query{Kind: "search"})
		if err != nil || answer.Status != StatusComplete {
			t.Fatalf("query %d: got answer %+v, error %v, want a complete answer", i, answer, err)
		}
	}
}

// TestResendBudget guards against callers that multiply the load of a system that refuses work.
func TestResendBudget(t *testing.T) {
	f := newFakeSystem(t)
	f.add("a", respond(503, StatusNotRun, "overloaded"))
	client := f.client(Options{Timeout: testTimeout})
	const queries = 100
	for range queries {
		client.Query(t.Context(), Query{Kind: "search"})
	}
	if got, limit := len(f.receivedIDs())-queries, maxResendTokens+queries/10; got > limit {
		t.Errorf("got %d resends for %d queries, want at most %d", got, queries, limit)
	}
}

// TestResolve guards against request IDs in the time of the caller's clock, against using entries of other zones
// without need and against using a list of entries beyond its time to live.
func TestResolve(t *testing.T) {
	f := newFakeSystem(t)
	f.timeToLive, f.clockOffset = "100ms", time.Hour
	f.add("a", respondComplete)
	f.add("b", func(http.ResponseWriter, *http.Request, string) { t.Error("an entry of another zone was used") })
	client := f.client(Options{Zone: "a", Timeout: testTimeout})
	deadline := time.Now().Add(testTimeout)
	for refreshes := 0; refreshes < 3; {
		if _, err := client.Query(t.Context(), Query{Kind: "search"}); err != nil {
			t.Fatal(err)
		}
		f.mu.Lock()
		refreshes = f.resolveCount
		f.mu.Unlock()
		if time.Now().After(deadline) {
			t.Fatalf("got %d refreshes of the entries, want 3", refreshes)
		}
	}
	id := uuid.MustParse(f.receivedIDs()[0])
	seconds, nanoseconds := id.Time().UnixTime()
	got := time.Until(time.Unix(seconds, nanoseconds))
	if id.Version() != 7 || got < time.Hour-time.Minute || got > time.Hour+time.Minute {
		t.Errorf("request ID: got version %d, %v ahead of the local clock, want 7, 1h", id.Version(), got)
	}
	unreachable, _ := New([]netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")}, Options{})
	var typed *Error
	if _, err := unreachable.Query(t.Context(), Query{}); !errors.As(err, &typed) || typed.Kind != KindNotRun {
		t.Errorf("unreachable entry: got %v, want kind %v", err, KindNotRun)
	}
}
