package relayer

import (
	"errors"
	"testing"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/follower"
)

// publishEra publishes a state of an era.
func (r *relay) publishEra(era, at uint64, names map[string]uint64) {
	items := map[string]broker.Item[string]{}
	for name, revision := range names {
		items[name] = broker.Item[string]{Name: name, Revision: revision}
	}
	known := knownNow(at)
	known.Era = era
	r.feed.Publish(follower.Update[string]{Items: items, Known: known})
}

// TestReturnedRelay guards against a host that goes on with the changes of its relay when the store has come back from an older
// copy, against an era that a relay does not pass on, and against renewing a relay's state of an earlier era.
func TestReturnedRelay(t *testing.T) {
	r, store, relays := newRelay(t), &storeSource{}, NewRelays()
	relays.Set(near(r), false)
	source := NewSource("test", store, relays)
	r.publishEra(1, 10, map[string]uint64{"a": 5, "b": 9})
	_, listed, err := source.List(t.Context(), acceptAll)
	if want := (broker.Position{Era: 1, Revision: 10}); err != nil || listed.Position != want {
		t.Fatalf("List(): got %v, %v, want %v", listed.Position, err, want)
	}
	r.feed.Renew(broker.Knowledge{Position: broker.Position{Era: 2, Revision: 40}, At: time.Now().Add(time.Minute)})
	if _, known, err := source.List(t.Context(), acceptAll); err != nil || known.Position != listed.Position {
		t.Errorf("List() after a renewal by another era: got %v, %v, want %v", known.Position, err, listed.Position)
	}
	for _, next := range []broker.Position{{Era: 2, Revision: 7}, {Era: 3, Revision: 7}, {Era: 4, Revision: 50}} {
		done := make(chan error, 1)
		go func() {
			_, _, err := source.Watch(t.Context(), listed.Position, time.Second)
			done <- err
		}()
		time.Sleep(20 * time.Millisecond)
		r.publishEra(next.Era, next.Revision, map[string]uint64{"a": 5})
		if err := <-done; !errors.Is(err, broker.ErrRelist) {
			t.Errorf("Watch() before the return to %v: got %v, want ErrRelist", next, err)
		}
		items, known, err := source.List(t.Context(), acceptAll)
		if err != nil || len(items) != 1 || known.Position != next {
			t.Errorf("List() after the return: got %d items at %v, %v, want 1 at %v", len(items), known.Position, err, next)
		}
		listed = known
	}
}
