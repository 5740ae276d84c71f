package relayer

import (
	"context"
	"errors"
	"log/slog"
	"net"
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

// followRelay runs a follower of source until the test ends, and sends its updates to the returned channel.
func followRelay(t *testing.T, source *Source[string]) <-chan follower.Update[string] {
	t.Helper()
	updates := make(chan follower.Update[string], 64)
	copied := follower.New("test", source, func(u follower.Update[string]) { updates <- u },
		follower.Options{Wait: time.Second, Gate: follower.NewGate()}, metrics.NewSet(), slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go copied.Run(ctx)
	return updates
}

// end closes a relay at once. Without closing the listener first, the host may connect again before Close, which then waits
// for the answer to its question.
func (r *relay) end() {
	_ = r.server.Listener.Close()
	r.server.CloseClientConnections()
	r.server.Close()
}

// restart serves a new feed at the address of a relay that was closed.
func (r *relay) restart(t *testing.T) {
	t.Helper()
	listener, err := net.Listen("tcp", r.address.String())
	if err != nil {
		t.Fatal(err)
	}
	r.feed = NewFeed[string](r.fresh.Load)
	r.server = &httptest.Server{Listener: listener, Config: &http.Server{Handler: r.feed}}
	r.server.Start()
	t.Cleanup(r.server.Close)
}

// TestRestartedRelays guards against all hosts of a zone that turn to the store while their relays are restarted, and
// against hosts that wait too long for relays that stay away.
func TestRestartedRelays(t *testing.T) {
	tests := []struct {
		name      string
		away      time.Duration
		stateless time.Duration // without a state after that
		wantStore bool
	}{
		{name: "restarted", away: 600 * time.Millisecond},
		{name: "restarted, without a state at first", away: 300 * time.Millisecond, stateless: 300 * time.Millisecond},
		{name: "gone", away: time.Hour, wantStore: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			r, store, relays := newRelay(t), &storeSource{}, NewRelays()
			relays.Set(near(r), false)
			r.publish(10, map[string]uint64{"a": 5})
			updates := followRelay(t, NewSource("test", store, relays))
			<-updates
			r.end()
			if tt.away < time.Minute {
				time.Sleep(tt.away)
				r.restart(t)
				time.Sleep(tt.stateless)
				r.publish(11, map[string]uint64{"a": 5, "b": 11})
			}
			select {
			case update := <-updates:
				_, fromStore := update.Items["store"]
				if fromStore != tt.wantStore || len(update.Items) == 0 {
					t.Errorf("next update: got %v, want from the store: %v", update.Items, tt.wantStore)
				}
			case <-time.After(2 * time.Second):
				if !tt.wantStore || store.calls.Load() == 0 {
					t.Error("no update within 2s")
				}
			}
			if got := store.calls.Load(); (got > 0) != tt.wantStore {
				t.Errorf("calls to the store: got %d, want some: %v", got, tt.wantStore)
			}
		})
	}
}

// TestStartBesideRelay guards against a host that starts together with its relay and lists the store, because the relay
// has no state yet.
func TestStartBesideRelay(t *testing.T) {
	r, store, relays := newRelay(t), &storeSource{}, NewRelays()
	relays.Set(near(r), false)
	time.AfterFunc(200*time.Millisecond, func() { r.publish(10, map[string]uint64{"a": 5}) })
	_, known, err := NewSource("test", store, relays).List(t.Context(), acceptAll)
	if err != nil || known.Revision != 10 {
		t.Errorf("List(): got revision %d, %v; want 10", known.Revision, err)
	}
	if got := store.calls.Load(); got != 0 {
		t.Errorf("calls to the store: got %d, want 0", got)
	}
}

// TestStoreOutageBehindRelays guards against every host calling the store again and again during its outage, each call of
// which has its price, and against missing its return. The load is an outage, in which no relay knows anything new.
func TestStoreOutageBehindRelays(t *testing.T) {
	const outage = 3 * time.Second
	r, store, relays := newRelay(t), &storeSource{err: errors.New("away")}, NewRelays()
	relays.Set(near(r), false)
	r.publish(10, map[string]uint64{"a": 5})
	updates := followRelay(t, NewSource("test", store, relays))
	<-updates
	time.Sleep(maxAge + outage)
	if got, want := store.calls.Load(), int64(outage/storeRetryInterval)+1; got == 0 || got > want {
		t.Errorf("calls to the store in %s: got %d, want 1 to %d", outage, got, want)
	}
	r.publish(11, map[string]uint64{"a": 5, "b": 11})
	select {
	case update := <-updates:
		if len(update.Items) != 2 {
			t.Errorf("update after the outage: got %v, want that of the relay", update.Items)
		}
	case <-time.After(time.Second):
		t.Error("no update within 1s after the relay has a new state")
	}
}

// TestReturnToRelay guards against a removed entry that comes back when a host returns from the store to its relay and
// asks for the changes since its last answer: the relay's changes are older than the state that the store gave.
func TestReturnToRelay(t *testing.T) {
	r, store, relays := newRelay(t), &storeSource{}, NewRelays()
	relays.Set(near(r), false)
	r.publish(10, map[string]uint64{"a": 5})
	source := NewSource("test", store, relays)
	if _, _, err := source.List(t.Context(), acceptAll); err != nil {
		t.Fatal(err)
	}
	r.publish(11, map[string]uint64{"a": 5, "removed": 11})
	relays.fail(r.address, time.Now(), failureRefused)
	if _, _, err := source.Watch(t.Context(), broker.Position{Revision: 10}, time.Second); err != nil { // the store has removed it again by now
		t.Fatal(err)
	}
	relays.fail(r.address, time.Now().Add(-2*retryDelay), failureRefused) // the relay may be used again
	if changes, _, err := source.Watch(t.Context(), broker.Position{Revision: 100}, time.Second); !errors.Is(err, broker.ErrRelist) {
		t.Errorf("Watch() after the return: got %v, %v; want ErrRelist", changes, err)
	}
}

// TestPreferredRelay guards against whole collections that are sent again because a host goes back to the first of two
// equal relays, and against a host that stays with a relay of another zone although there is one in its own.
func TestPreferredRelay(t *testing.T) {
	first, second, far := newRelay(t), newRelay(t), newRelay(t)
	relays := NewRelays()
	relays.Set(append(near(first, second), Candidate{Address: far.address, Far: true}), false)
	now := time.Now()
	tests := []struct {
		name string
		last *relay
		want *relay
	}{
		{name: "none before", last: &relay{}, want: first},
		{name: "equal one before", last: second, want: second},
		{name: "far one before", last: far, want: first},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got, ok := relays.pick(now, tt.last.address, true); !ok || got.Address != tt.want.address {
				t.Errorf("relay: got %v, want %v", got.Address, tt.want.address)
			}
		})
	}
}

// TestFarRelay guards against uncompressed collections between zones, and against a host that spends the rest of the time
// in which it must be up to date on a relay of another zone that may not answer.
func TestFarRelay(t *testing.T) {
	r, store, relays := newRelay(t), &storeSource{}, NewRelays()
	var encoding string
	handler := r.server.Config.Handler
	r.server.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		handler.ServeHTTP(w, request)
		encoding = w.Header().Get("Content-Encoding")
	})
	relays.Set([]Candidate{{Address: r.address, Far: true}}, false)
	r.publish(10, map[string]uint64{"a": 5})
	source := NewSource("test", store, relays)
	items, known, err := source.List(t.Context(), acceptAll)
	if err != nil || len(items) != 1 || known.Revision != 10 {
		t.Fatalf("List(): got %v at %d, %v; want the item of the relay", items, known.Revision, err)
	}
	if want := "gzip"; encoding != want {
		t.Errorf("encoding: got %q, want %q", encoding, want)
	}
	source.knownAt = time.Now().Add(-reconnectAge)
	if _, known, err = source.List(t.Context(), acceptAll); err != nil || known.Revision != 100 {
		t.Errorf("List() with an old copy: got revision %d, %v; want 100 from the store", known.Revision, err)
	}
}

// TestDeadRelays guards against a copy that grows old because the host tries the relays of its zone again and again, which
// were lost without a trace and stay in the store for minutes.
func TestDeadRelays(t *testing.T) {
	t.Parallel()
	const (
		limit  = 2500 * time.Millisecond // as in TestOldRelay
		length = 12 * time.Second
	)
	first, second, far := newRelay(t), newRelay(t), newRelay(t)
	silent := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	first.server.Config.Handler, second.server.Config.Handler = silent, silent
	far.publish(200, map[string]uint64{"store": 1})
	store, relays := &storeSource{}, NewRelays()
	relays.Set(append(near(first, second), Candidate{Address: far.address, Far: true}), false)
	copied := follower.New("test", NewSource("test", store, relays), func(follower.Update[string]) {},
		follower.Options{Wait: 15 * time.Second, Gate: follower.NewGate()}, metrics.NewSet(), slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go copied.Run(ctx)
	var oldest time.Duration
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		far.feed.Renew(knownNow(200))
		oldest = max(oldest, time.Since(copied.Known().At))
	}
	if oldest > limit {
		t.Errorf("oldest copy: got %s, want at most %s", oldest, limit)
	}
	if got, want := store.calls.Load(), int64(8); got > want {
		t.Errorf("calls to the store in %s: got %d, want at most %d", length, got, want)
	}
}

// TestExpiredListing guards against a listing whose time was used up by silent relays and that counts as a failure of the
// store, which would then not be called for storeRetryInterval.
func TestExpiredListing(t *testing.T) {
	r, store, relays := newRelay(t), &storeSource{}, NewRelays()
	r.server.Config.Handler = http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	relays.Set(near(r), false)
	source := NewSource("test", store, relays)
	ctx, cancel := context.WithTimeout(t.Context(), requestSlack/2)
	defer cancel()
	if _, _, err := source.List(ctx, acceptAll); err == nil {
		t.Error("List() behind a silent relay: got no error")
	}
	if _, known, err := source.List(t.Context(), acceptAll); err != nil || known.Revision != 100 {
		t.Errorf("next List(): got revision %d, %v; want 100 from the store", known.Revision, err)
	}
}

// TestFallbacksInOutage guards against whole collections that go between hosts again and again while the store is away:
// a host that has a copy gains little from the last state of another one.
func TestFallbacksInOutage(t *testing.T) {
	t.Parallel()
	const outage = 4 * time.Second
	r, fallback, store, relays := newRelay(t), newRelay(t), &storeSource{err: errors.New("away")}, NewRelays()
	var requests atomic.Int64
	handler := fallback.server.Config.Handler
	fallback.server.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		requests.Add(1)
		handler.ServeHTTP(w, request)
	})
	relays.Set(near(r), false)
	relays.SetFallbacks([]netip.AddrPort{fallback.address})
	r.publish(10, map[string]uint64{"a": 5})
	fallback.publish(10, map[string]uint64{"a": 5})
	updates := followRelay(t, NewSource("test", store, relays))
	<-updates
	time.Sleep(maxAge + outage)
	if got, want := requests.Load(), int64(outage/retryDelay)+1; got > want {
		t.Errorf("requests for the last state in %s: got %d, want at most %d", outage, got, want)
	}
}
