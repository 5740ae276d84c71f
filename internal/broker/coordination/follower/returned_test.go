package follower

import (
	"context"
	"io"
	"log/slog"
	"maps"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/waiter"
)

// returningStore is a collection of a store that can come back from an older copy. Listings may come from another host, which has
// any earlier state.
type returningStore struct {
	mu      sync.Mutex
	random  *rand.Rand
	state   storeState
	earlier []storeState
	changed chan struct{}
	calm    bool // only the store itself answers
	value   uint64
}

type storeState struct {
	broker.Position
	items map[string]broker.Item[uint64]
	log   []broker.Change[uint64]
}

func (s storeState) list() (items []broker.Item[uint64], known broker.Knowledge) {
	for _, item := range s.items {
		items = append(items, item)
	}
	return items, broker.Knowledge{Position: s.Position, At: time.Now()}
}

// step makes a change, or comes back from an earlier state, of whatever era, in the next one.
func (s *returningStore) step() (returned bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.earlier = append(s.earlier, s.state)
	next := s.state
	next.items = maps.Clone(next.items)
	if s.random.IntN(8) == 0 {
		from := s.earlier[s.random.IntN(len(s.earlier))]
		next = storeState{broker.Position{Era: s.state.Era + 1, Revision: from.Revision}, maps.Clone(from.items), from.log}
		returned = true
	} else {
		s.value++
		next.Revision++
		item := broker.Item[uint64]{Name: string(rune('a' + s.random.IntN(4))), Revision: next.Revision, Value: s.value}
		_, exists := next.items[item.Name]
		deleted := exists && s.random.IntN(3) == 0
		if next.items[item.Name] = item; deleted {
			delete(next.items, item.Name)
		}
		next.log = append(next.log[:len(next.log):len(next.log)], broker.Change[uint64]{Item: item, Deleted: deleted})
	}
	s.state = next
	close(s.changed)
	s.changed = make(chan struct{})
	return returned
}

func (s *returningStore) List(
	_ context.Context, accept broker.Accept[uint64],
) ([]broker.Item[uint64], broker.Knowledge, error) {
	s.mu.Lock()
	state, relayed := s.state, s.state
	if !s.calm && len(s.earlier) > 0 {
		relayed = s.earlier[s.random.IntN(len(s.earlier))]
	}
	s.mu.Unlock()
	if items, known := relayed.list(); accept(items, known) {
		return items, known, nil
	}
	items, known := state.list()
	return items, known, nil
}

func (s *returningStore) Watch(
	ctx context.Context, after broker.Position, wait time.Duration,
) ([]broker.Change[uint64], broker.Knowledge, error) {
	for end := time.Now().Add(wait); ; {
		s.mu.Lock()
		state, changed := s.state, s.changed
		s.mu.Unlock()
		switch {
		case after.Era != state.Era:
			return nil, broker.Knowledge{}, broker.ErrRelist
		case after.Revision > state.Revision:
			return nil, broker.Knowledge{}, broker.ErrHistoryGone
		}
		var found []broker.Change[uint64]
		for _, change := range state.log {
			if change.Revision > after.Revision {
				found = append(found, change)
			}
		}
		if len(found) > 0 || !time.Now().Before(end) {
			return found, broker.Knowledge{Position: state.Position, At: time.Now()}, nil
		}
		select {
		case <-changed:
		case <-time.After(time.Until(end)):
		case <-ctx.Done():
			return nil, broker.Knowledge{}, ctx.Err()
		}
	}
}

// Poll answers from any earlier state until the store is calm.
func (s *returningStore) Poll(ctx context.Context, after broker.Position, wait time.Duration) (bool, time.Time, error) {
	s.mu.Lock()
	state := s.state
	if !s.calm && len(s.earlier) > 0 {
		state = s.earlier[s.random.IntN(len(s.earlier))]
	}
	s.mu.Unlock()
	switch {
	case state.Era != after.Era:
		return false, time.Time{}, broker.ErrRelist
	case state.Revision > after.Revision:
		return true, time.Now(), nil
	}
	waiter.Wait(ctx, wait)
	return false, time.Now(), nil
}

// TestReturningStore plays random changes, returns of the store from older copies, listings of other hosts and stale polls. It
// guards against a follower that keeps or goes back to a state that is not the store's present one.
func TestReturningStore(t *testing.T) {
	for seed := range uint64(60) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			store := &returningStore{random: rand.New(rand.NewPCG(seed, 2)), changed: make(chan struct{}),
				state: storeState{Position: broker.Position{Era: 1, Revision: 10}, items: map[string]broker.Item[uint64]{}}}
			var mu sync.Mutex
			var last Update[uint64]
			f := New("test", store, func(update Update[uint64]) {
				mu.Lock()
				defer mu.Unlock()
				if update.Known.Before(last.Known.Position) {
					t.Errorf("seed %d: went back from %v to %v", seed, last.Known.Position, update.Known.Position)
				}
				if want := last.Items != nil && update.Known.Era > last.Known.Era; update.Returned != want {
					t.Errorf("seed %d: returned from %v to %v: got %v, want %v", seed, last.Known, update.Known, update.Returned, want)
				}
				last = update
			}, Options{Wait: 15 * time.Second, Pause: 50 * time.Millisecond, PollWait: 500 * time.Millisecond, Gate: NewGate()},
				metrics.NewSet(), slog.New(slog.NewTextHandler(io.Discard, nil)))
			ctx, cancel := context.WithCancel(t.Context())
			go f.Run(ctx)
			for range 80 {
				time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
				if returned := store.step(); returned && random.IntN(2) == 0 {
					f.Refresh() // as after an answer of the store to another call
				}
			}
			store.mu.Lock()
			store.calm = true
			store.mu.Unlock()
			time.Sleep(2 * time.Second) // the limit of a configuration is 3 s
			mu.Lock()
			if !maps.Equal(last.Items, store.state.items) {
				t.Errorf("seed %d: got %v at %v, want %v at %v", seed, last.Items, last.Known.Position, store.state.items, store.state.Position)
			}
			mu.Unlock()
			cancel()
			synctest.Wait()
		})
	}
}

// TestEras guards against a rise of the era that is not reported or reported twice, and against an older era that counts as one.
func TestEras(t *testing.T) {
	eras := NewEras()
	var rises [][2]uint64
	eras.OnRise(func(from, to uint64) { rises = append(rises, [2]uint64{from, to}) })
	for _, era := range []uint64{3, 3, 4, 3, 4, 6} {
		eras.Observe(era)
	}
	if len(rises) != 2 || rises[0] != [2]uint64{3, 4} || rises[1] != [2]uint64{4, 6} || eras.Current() != 6 {
		t.Errorf("rises: got %v, current %d, want [[3 4] [4 6]], current 6", rises, eras.Current())
	}
}
