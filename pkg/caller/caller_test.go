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

// patience ends a test that hangs.
const patience = 20 * time.Second

// fleet is a set of stand-in entries that share the list of entries and record the request IDs they receive.
type fleet struct {
	t          *testing.T
	mu         sync.Mutex
	listed     []*fakeEntry
	timeToLive string
	clock      time.Duration // the fleet's clock minus ours
	resolved   int
	ids        []string // in order of arrival
	at         []*fakeEntry
}

type fakeEntry struct {
	*httptest.Server
	address netip.AddrPort
	zone    string
	mu      sync.Mutex
	handle  func(w http.ResponseWriter, r *http.Request, id string)
}

func newFleet(t *testing.T) *fleet {
	return &fleet{t: t, timeToLive: "1s"}
}

func (f *fleet) add(zone string, handle func(http.ResponseWriter, *http.Request, string)) *fakeEntry {
	e := &fakeEntry{zone: zone, handle: handle}
	e.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { f.serve(e, w, r) }))
	e.address = netip.MustParseAddrPort(e.Listener.Addr().String())
	f.t.Cleanup(func() {
		e.CloseClientConnections()
		e.Close()
	})
	f.mu.Lock()
	f.listed = append(f.listed, e)
	f.mu.Unlock()
	return e
}

func (f *fleet) serve(e *fakeEntry, w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/entries" {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.resolved++
		var entries []map[string]string
		for _, listed := range f.listed {
			entries = append(entries, map[string]string{"address": listed.address.String(), "zone": listed.zone})
		}
		json.NewEncoder(w).Encode(map[string]any{"entries": entries, "timeToLive": f.timeToLive, "revision": 7,
			"now": time.Now().Add(f.clock).Format(time.RFC3339Nano)})
		return
	}
	var query Query
	body, _ := io.ReadAll(r.Body)
	json.Unmarshal(body, &query)
	f.mu.Lock()
	f.ids, f.at = append(f.ids, query.RequestID), append(f.at, e)
	f.mu.Unlock()
	e.mu.Lock()
	handle := e.handle
	e.mu.Unlock()
	handle(w, r, query.RequestID)
}

func (f *fleet) received() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.ids)
}

func (f *fleet) client(options Options) *Client {
	f.mu.Lock()
	defer f.mu.Unlock()
	var seeds []netip.AddrPort
	for _, e := range f.listed {
		seeds = append(seeds, e.address)
	}
	client, err := New(seeds, options)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(client.Close)
	return client
}

// say answers with a status and reason.
func say(code int, status Status, reason string, entries ...string) func(http.ResponseWriter, *http.Request, string) {
	return func(w http.ResponseWriter, _ *http.Request, id string) {
		w.WriteHeader(code)
		json.NewEncoder(w).Encode(Answer{RequestID: id, Status: status, Reason: reason, Entries: entries})
	}
}

var complete = say(200, StatusComplete, "")

// drop reads the query and closes the connection without an answer.
func drop(http.ResponseWriter, *http.Request, string) { panic(http.ErrAbortHandler) }

// Guards against requests that fail or run under a second ID while every entry is replaced, one after another, half
// of them without any warning.
func TestReplacementOfEveryEntry(t *testing.T) {
	f := newFleet(t)
	f.timeToLive = "100ms"
	for range 3 {
		f.add("a", complete)
	}
	client := f.client(Options{Timeout: patience})
	ctx, stop := context.WithCancel(t.Context())
	answered := make(chan struct{})
	var workers sync.WaitGroup
	for range 8 {
		workers.Go(func() {
			for ctx.Err() == nil {
				answer, err := client.Query(t.Context(), Query{Kind: "search"})
				if err != nil || answer.Status != StatusComplete {
					t.Errorf("got %+v, %v, want a complete answer", answer, err)
				}
				select {
				case answered <- struct{}{}:
				case <-ctx.Done():
				}
			}
		})
	}
	for round := range 3 {
		replacement := f.add("a", complete)
		f.mu.Lock()
		old := f.listed[0]
		f.listed = f.listed[1:]
		f.mu.Unlock()
		if round%2 == 0 {
			old.mu.Lock()
			old.handle = say(503, StatusNotRun, reasonLeaving, replacement.address.String())
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

// Guards against a query that waits for a silent connection, leaves it open or is sent again under another ID.
func TestSilentConnection(t *testing.T) {
	f := newFleet(t)
	closed := make(chan struct{})
	var once sync.Once
	hang := func(w http.ResponseWriter, r *http.Request, id string) {
		silent := false
		once.Do(func() { silent = true })
		if !silent {
			complete(w, r, id)
			return
		}
		<-r.Context().Done()
		close(closed)
	}
	f.add("a", hang)
	f.add("a", hang)
	client := f.client(Options{Silence: 20 * time.Millisecond, Timeout: 2 * patience})
	answer, err := client.Query(t.Context(), Query{Kind: "search"})
	if err != nil || answer.Status != StatusComplete {
		t.Errorf("got %+v, %v, want a complete answer", answer, err)
	}
	select {
	case <-closed:
	case <-time.After(patience):
		t.Error("the silent connection is still open")
	}
	if ids := f.received(); len(ids) != 2 || ids[0] != ids[1] {
		t.Errorf("got request IDs %v, want one ID twice", ids)
	}
}

// Guards against addresses in a refusal that are ignored or forgotten.
func TestNotRunWithNewAddresses(t *testing.T) {
	f := newFleet(t)
	f.timeToLive = "1m"
	old := f.add("a", nil)
	client := f.client(Options{Timeout: patience})
	next := f.add("a", complete)
	f.mu.Lock()
	f.listed = f.listed[:1]
	f.mu.Unlock()
	old.handle = say(503, StatusNotRun, reasonZoneOut, next.address.String(), "nonsense")
	for i, want := range []int{2, 3} {
		answer, err := client.Query(t.Context(), Query{Kind: "search"})
		if err != nil || answer.Status != StatusComplete {
			t.Fatalf("got %+v, %v, want a complete answer", answer, err)
		}
		if got := len(f.received()); got != want {
			t.Errorf("query %d: got %d requests so far, want %d", i, got, want)
		}
		// A refresh would name the old entry again.
		f.mu.Lock()
		f.listed = []*fakeEntry{next}
		f.mu.Unlock()
	}
}

// Guards against a wrong statement about the execution of a query, above all notRun after an attempt that may have
// run, and against resends without bound, without need or under another ID.
func TestVerdicts(t *testing.T) {
	type handler = func(http.ResponseWriter, *http.Request, string)
	overloaded, leaving := say(503, StatusNotRun, "overloaded"), say(503, StatusNotRun, reasonLeaving)
	unread := func(w http.ResponseWriter, r *http.Request, _ string) { overloaded(w, r, "") }
	unknown := say(504, StatusOutcomeUnknown, "silent")
	duplicate := say(504, StatusOutcomeUnknown, reasonDuplicate)
	wrongID := func(w http.ResponseWriter, r *http.Request, _ string) { complete(w, r, "another") }
	invalid := func(w http.ResponseWriter, _ *http.Request, _ string) {
		w.WriteHeader(http.StatusBadRequest)
		fmt.Fprint(w, `{"error":{"kind":"invalid","message":"unknown kind"}}`)
	}
	tests := []struct {
		name     string
		script   []handler
		status   Status
		kind     Kind
		attempts int
	}{
		{"partial", []handler{say(200, StatusPartial, "")}, StatusPartial, "", 1},
		{"too few shards", []handler{say(503, StatusInsufficientCoverage, "")}, StatusInsufficientCoverage, "", 1},
		{"refused for good", []handler{overloaded, overloaded, overloaded}, StatusNotRun, "", 3},
		{"refused unread", []handler{unread, unread, unread}, StatusNotRun, "", 3},
		{"refused once", []handler{overloaded, complete}, StatusComplete, "", 2},
		{"lost, then refused", []handler{drop, leaving, leaving}, StatusOutcomeUnknown, "", 3},
		{"lost, then answered", []handler{drop, complete}, StatusComplete, "", 2},
		{"lost for good", []handler{drop, drop, drop}, "", KindOutcomeUnknown, 3},
		{"lost, still running, answered", []handler{drop, duplicate, complete}, StatusComplete, "", 3},
		{"unknown", []handler{unknown}, StatusOutcomeUnknown, "", 1},
		{"quarantined", []handler{say(503, StatusNotRun, reasonQuarantined)}, StatusNotRun, "", 1},
		{"lost, then quarantined", []handler{drop, say(503, StatusNotRun, reasonQuarantined)},
			StatusOutcomeUnknown, "", 2},
		{"malformed", []handler{invalid}, "", KindInvalid, 1},
		{"answer to another request", []handler{wrongID, complete}, StatusComplete, "", 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(t)
			step := func(w http.ResponseWriter, r *http.Request, id string) {
				at := len(f.received()) - 1
				if at >= len(test.script) {
					t.Errorf("attempt %d was not expected", at+1)
					return
				}
				test.script[at](w, r, id)
			}
			f.add("a", step)
			f.add("a", step)
			answer, err := f.client(Options{Attempts: 3, Timeout: patience}).Query(t.Context(), Query{Kind: "search"})
			var typed *Error
			if errors.As(err, &typed); answer.Status != test.status || (err != nil) != (test.kind != "") ||
				typed != nil && typed.Kind != test.kind {
				t.Errorf("got %q, %v, want %q, kind %q", answer.Status, err, test.status, test.kind)
			}
			ids := f.received()
			if len(ids) != test.attempts || len(slices.Compact(ids)) != 1 {
				t.Errorf("got requests %v, want %d with one ID", ids, test.attempts)
			}
			if len(ids) > 1 && f.at[0] == f.at[1] {
				t.Error("the query was sent again to the same entry")
			}
		})
	}
}

// Guards against an entry that has just lost a connection being used as often as the others.
func TestFailedEntryIsAvoided(t *testing.T) {
	f := newFleet(t)
	f.timeToLive = "1m"
	bad := f.add("a", drop)
	f.add("a", complete)
	client := f.client(Options{Timeout: patience})
	for range 40 {
		client.Query(t.Context(), Query{Kind: "search"})
	}
	lost := 0
	for _, e := range f.at {
		if e == bad {
			lost++
		}
	}
	if lost > 1 {
		t.Errorf("got %d lost connections in 40 queries, want 1", lost)
	}
}

// Guards against a planned change of owner that uses up the budget for resends and then fails queries.
func TestHandoverCostsNoBudget(t *testing.T) {
	f := newFleet(t)
	refused := make(map[string]bool)
	f.add("a", func(w http.ResponseWriter, r *http.Request, id string) {
		f.mu.Lock()
		first := !refused[id]
		refused[id] = true
		f.mu.Unlock()
		if first {
			say(503, StatusNotRun, reasonNotOwner)(w, r, id)
			return
		}
		complete(w, r, id)
	})
	client := f.client(Options{Timeout: patience})
	for i := range 3 * resendBurst {
		answer, err := client.Query(t.Context(), Query{Kind: "search"})
		if err != nil || answer.Status != StatusComplete {
			t.Fatalf("query %d: got %+v, %v, want a complete answer", i, answer, err)
		}
	}
}

// Guards against callers that multiply the load of a system which refuses work.
func TestResendBudget(t *testing.T) {
	f := newFleet(t)
	f.add("a", say(503, StatusNotRun, "overloaded"))
	client := f.client(Options{Timeout: patience})
	const queries = 100
	for range queries {
		client.Query(t.Context(), Query{Kind: "search"})
	}
	if got, most := len(f.received())-queries, resendBurst+queries/10; got > most {
		t.Errorf("got %d resends for %d queries, want at most %d", got, queries, most)
	}
}

// Guards against request IDs in the caller's own time, entries of other zones used without need, and a list of
// entries that is kept beyond its time to live.
func TestResolve(t *testing.T) {
	f := newFleet(t)
	f.timeToLive, f.clock = "100ms", time.Hour
	f.add("a", complete)
	f.add("b", func(http.ResponseWriter, *http.Request, string) { t.Error("an entry of another zone was used") })
	client := f.client(Options{Zone: "a", Timeout: patience})
	deadline := time.Now().Add(patience)
	for resolved := 0; resolved < 3; {
		if _, err := client.Query(t.Context(), Query{Kind: "search"}); err != nil {
			t.Fatal(err)
		}
		f.mu.Lock()
		resolved = f.resolved
		f.mu.Unlock()
		if time.Now().After(deadline) {
			t.Fatalf("got %d refreshes of the entries, want 3", resolved)
		}
	}
	id := uuid.MustParse(f.received()[0])
	seconds, nanoseconds := id.Time().UnixTime()
	got := time.Until(time.Unix(seconds, nanoseconds))
	if id.Version() != 7 || got < time.Hour-time.Minute || got > time.Hour+time.Minute {
		t.Errorf("got version %d, %v ahead of our clock, want 7, 1h", id.Version(), got)
	}
	nobody, _ := New([]netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")}, Options{})
	var typed *Error
	if _, err := nobody.Query(t.Context(), Query{}); !errors.As(err, &typed) || typed.Kind != KindNotRun {
		t.Errorf("without entries: got %v, want kind %v", err, KindNotRun)
	}
}
