package relayer

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/follower"
)

// storeSource is a store that counts its calls, and fails them if err is set.
type storeSource struct {
	calls atomic.Int64
	err   error
}

func (s *storeSource) List(
	ctx context.Context, _ broker.Accept[string],
) ([]broker.Item[string], broker.Knowledge, error) {
	if ctx.Err() != nil {
		return nil, broker.Knowledge{}, ctx.Err()
	}
	s.calls.Add(1)
	return []broker.Item[string]{{Name: "store", Revision: 1}}, knownNow(100), s.err
}

func (s *storeSource) Watch(
	context.Context, broker.Position, time.Duration,
) ([]broker.Change[string], broker.Knowledge, error) {
	s.calls.Add(1)
	return nil, knownNow(100), s.err
}

func (s *storeSource) Poll(context.Context, broker.Position, time.Duration) (bool, time.Time, error) {
	s.calls.Add(1)
	return false, time.Now(), s.err
}

func knownNow(revision uint64) broker.Knowledge {
	return broker.Knowledge{Position: broker.Position{Revision: revision}, At: time.Now()}
}

// acceptAll accepts every listing, as a follower does before its first one.
func acceptAll([]broker.Item[string], broker.Knowledge) bool { return true }

// relay is a feed with an HTTP server.
type relay struct {
	feed    *Feed[string]
	fresh   atomic.Bool
	address netip.AddrPort
	server  *httptest.Server
}

func newRelay(t *testing.T) *relay {
	t.Helper()
	r := &relay{}
	r.fresh.Store(true)
	r.feed = NewFeed[string](r.fresh.Load)
	r.server = httptest.NewServer(r.feed)
	t.Cleanup(r.server.Close)
	r.address = netip.MustParseAddrPort(r.server.Listener.Addr().String())
	return r
}

// near returns relays as candidates in the same zone.
func near(relays ...*relay) []Candidate {
	candidates := make([]Candidate, len(relays))
	for i := range relays {
		candidates[i].Address = relays[i].address
	}
	return candidates
}

// publish publishes a state with one item for each name; the values of names are the revisions of the items.
func (r *relay) publish(at uint64, names map[string]uint64) {
	items := map[string]broker.Item[string]{}
	for name, revision := range names {
		items[name] = broker.Item[string]{Name: name, Revision: revision}
	}
	r.feed.Publish(follower.Update[string]{Items: items, Known: knownNow(at)})
}

// TestRelay guards against changes that a relay does not pass on, including one with a lower revision than the
// client's, as after a watch of the relay that missed events.
func TestRelay(t *testing.T) {
	r, store, relays := newRelay(t), &storeSource{}, NewRelays()
	relays.Set(near(r), false)
	source := NewSource("test", store, relays)
	r.publish(10, map[string]uint64{"a": 5})
	items, at, err := source.List(t.Context(), acceptAll)
	if err != nil || len(items) != 1 || at.Revision != 10 {
		t.Fatalf("List(): got %v at %d, %v; want one item at 10", items, at.Revision, err)
	}
	go func() {
		time.Sleep(20 * time.Millisecond)
		r.publish(10, map[string]uint64{"b": 7})
	}()
	changes, _, err := source.Watch(t.Context(), at.Position, time.Second)
	if err != nil || len(changes) != 2 {
		t.Fatalf("Watch(): got %v, %v; want b added and a deleted", changes, err)
	}
	if changes, _, err = source.Watch(t.Context(), at.Position, 10*time.Millisecond); err != nil || len(changes) != 0 {
		t.Errorf("Watch() without changes: got %v, %v; want none", changes, err)
	}
	if got := store.calls.Load(); got != 0 {
		t.Errorf("calls to the store: got %d, want 0", got)
	}
}

// TestRelayFails guards against hosts that keep using a relay that does not answer or cannot reach the store.
func TestRelayFails(t *testing.T) {
	tests := []struct {
		name string
		fail func(r *relay)
	}{
		{name: "lost the store", fail: func(r *relay) { r.fresh.Store(false) }},
		{name: "gone", fail: func(r *relay) { r.server.Close() }},
		{name: "redirects", fail: func(r *relay) {
			elsewhere := httptest.NewServer(r.feed)
			t.Cleanup(elsewhere.Close)
			r.server.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
				http.Redirect(w, request, elsewhere.URL+request.URL.RequestURI(), http.StatusTemporaryRedirect)
			})
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			first, second, store, relays := newRelay(t), newRelay(t), &storeSource{}, NewRelays()
			relays.Set(near(first, second), false)
			source := NewSource("test", store, relays)
			first.publish(10, map[string]uint64{"a": 5})
			second.publish(11, map[string]uint64{"a": 5})
			if _, _, err := source.List(t.Context(), acceptAll); err != nil {
				t.Fatal(err)
			}
			tt.fail(first)
			if _, _, err := source.Watch(t.Context(), broker.Position{Revision: 10}, time.Second); err == nil {
				t.Error("Watch() at a failed relay: got no error")
			}
			if _, _, err := source.Watch(t.Context(), broker.Position{Revision: 10}, time.Second); !errors.Is(err, broker.ErrRelist) {
				t.Errorf("Watch() at the next relay: got %v, want ErrRelist", err)
			}
			if _, at, err := source.List(t.Context(), acceptAll); err != nil || at.Revision != 11 {
				t.Errorf("List() at the next relay: got %d, %v; want 11", at.Revision, err)
			}
			tt.fail(second)
			_, _, _ = source.Watch(t.Context(), broker.Position{Revision: 11}, time.Second)
			if _, at, err := source.List(t.Context(), acceptAll); err != nil || at.Revision != 100 || !relays.Direct() {
				t.Errorf("List() without a relay: got %d, %v; want 100 from the store", at.Revision, err)
			}
		})
	}
}

// TestOlderRelay guards against a listing of a relay that has missed changes and is taken for current after a change of
// relays, also if it is the last state of a fallback.
func TestOlderRelay(t *testing.T) {
	tests := []struct {
		name          string
		older         map[string]uint64
		viaFallback   bool
		wantFromStore bool
	}{
		{name: "an entry is missing", older: map[string]uint64{"a": 5}, wantFromStore: true},
		{name: "a removed entry is there", older: map[string]uint64{"a": 5, "b": 12, "c": 6}, wantFromStore: true},
		{name: "an earlier version of an entry", older: map[string]uint64{"a": 5, "b": 7}, wantFromStore: true},
		{name: "the same entries at a lower revision", older: map[string]uint64{"a": 5, "b": 12}},
		{name: "the last state of a fallback", older: map[string]uint64{"a": 5}, viaFallback: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			first, second, store, relays := newRelay(t), newRelay(t), &storeSource{}, NewRelays()
			candidates := near(first, second)
			if tt.viaFallback {
				candidates = candidates[:1]
				relays.SetFallbacks([]netip.AddrPort{second.address})
				store.err = errors.New("away")
			}
			relays.Set(candidates, false)
			first.publish(12, map[string]uint64{"a": 5, "b": 12})
			second.publish(11, tt.older)
			updates := make(chan follower.Update[string], 16)
			copied := follower.New("test", NewSource("test", store, relays), func(u follower.Update[string]) { updates <- u },
				follower.Options{Wait: time.Second, Gate: follower.NewGate()}, metrics.NewSet(), slog.New(slog.DiscardHandler))
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go copied.Run(ctx)
			<-updates
			first.server.CloseClientConnections()
			first.server.Close()
			var last follower.Update[string]
			for end := time.After(time.Second); ; {
				select {
				case last = <-updates:
					_, fromStore := last.Items["store"]
					if len(last.Items) != 2 && !fromStore {
						t.Fatalf("update from the older relay: got %v", last.Items)
					}
					continue
				case <-end:
				}
				break
			}
			if _, got := last.Items["store"]; got != tt.wantFromStore {
				t.Errorf("listed from the store: got %v, want %v; last update %v", got, tt.wantFromStore, last.Items)
			}
		})
	}
}

// TestFeedBehind guards against a client that misses changes because the log no longer has them.
func TestFeedBehind(t *testing.T) {
	r, relays := newRelay(t), NewRelays()
	relays.Set(near(r), false)
	source := NewSource("test", &storeSource{}, relays)
	r.publish(1, map[string]uint64{"a": 1})
	if _, _, err := source.List(t.Context(), acceptAll); err != nil {
		t.Fatal(err)
	}
	for i := range uint64(maxLogChanges + 2) {
		r.publish(i+2, map[string]uint64{"a": i + 2})
	}
	if _, _, err := source.Watch(t.Context(), broker.Position{Revision: 1}, time.Second); !errors.Is(err, broker.ErrRelist) {
		t.Errorf("Watch() behind the log: got %v, want ErrRelist", err)
	}
}

// waitingSource is a store whose watches block until release is closed.
type waitingSource struct {
	storeSource

	release chan struct{}
}

func (s *waitingSource) Watch(
	context.Context, broker.Position, time.Duration,
) ([]broker.Change[string], broker.Knowledge, error) {
	<-s.release
	return nil, knownNow(100), nil
}

// TestPollDuringStoreWatch guards against a store watch that misses events unnoticed. The watch starts while no relay
// answers, and continues after a relay may be used again.
func TestPollDuringStoreWatch(t *testing.T) {
	r, relays := newRelay(t), NewRelays()
	store := &waitingSource{release: make(chan struct{})}
	relays.Set(near(r), false)
	relays.fail(r.address, time.Now(), failureRefused)
	source := NewSource("test", store, relays)
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		_, _, _ = source.Watch(t.Context(), broker.Position{Revision: 1}, time.Minute)
	}()
	for !source.watchesStore.Load() {
		time.Sleep(time.Millisecond)
	}
	relays.fail(r.address, time.Now().Add(-2*retryDelay), failureRefused) // the relay may be used again
	if _, _, err := source.Poll(t.Context(), broker.Position{Revision: 1}, time.Millisecond); err != nil {
		t.Fatal(err)
	}
	if got := store.calls.Load(); got != 1 {
		t.Errorf("polls of the store during its watch: got %d, want 1", got)
	}
	close(store.release)
	<-watched
	_, _, _ = source.Poll(t.Context(), broker.Position{Revision: 1}, time.Millisecond)
	if got := store.calls.Load(); got != 1 {
		t.Errorf("polls of the store after the watch: got %d, want still 1", got)
	}
}

// TestOldRelay guards against a host that takes what a relay knows for current for too long: a relay that has lost the
// store or ends, wherever the question to it stands.
func TestOldRelay(t *testing.T) {
	// A configuration must be in force within 3 s, of which 500 ms are for listing it elsewhere.
	const limit = 2500 * time.Millisecond
	tests := []struct {
		name      string
		age       time.Duration // of what the relay knows when it is listed
		renewed   bool          // the relay learns that there are no changes
		silent    bool          // the relay does not answer questions after the listing
		wantError bool
	}{
		{name: "lost the store", age: maxAge - 200*time.Millisecond, wantError: true},
		{name: "lost the store earlier", age: maxAge - 700*time.Millisecond, wantError: true},
		{name: "silent", age: maxAge / 2, silent: true, wantError: true},
		{name: "renewed", age: maxAge / 2, renewed: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r, relays := newRelay(t), NewRelays()
			relays.Set(near(r), false)
			source := NewSource("test", &storeSource{}, relays)
			r.feed.Publish(follower.Update[string]{
				Items: map[string]broker.Item[string]{"a": {Name: "a", Revision: 5}},
				Known: broker.Knowledge{Position: broker.Position{Revision: 5}, At: time.Now().Add(-tt.age)},
			})
			_, listed, err := source.List(t.Context(), acceptAll)
			if err != nil {
				t.Fatal(err)
			}
			if got, want := time.Since(listed.At), tt.age; got < want {
				t.Errorf("age of the listing: got %s, want at least %s", got, want)
			}
			if tt.silent {
				r.server.Config.Handler = http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
			}
			if tt.renewed {
				time.AfterFunc(100*time.Millisecond, func() { r.feed.Renew(knownNow(5)) })
			}
			var known broker.Knowledge
			for err == nil && time.Since(known.At) > maxAge/2 { // until an error or a renewal
				_, known, err = source.Watch(t.Context(), listed.Position, 15*time.Second)
				if age := time.Since(listed.At); age > limit {
					t.Fatalf("age of the listing when the question ended: got %s, want at most %s", age, limit)
				}
			}
			if (err != nil) != tt.wantError {
				t.Errorf("Watch(): got error %v, want one: %v", err, tt.wantError)
			}
		})
	}
}
