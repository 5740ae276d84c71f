package follower

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/waiter"
)

// fakeSource is a collection whose calls can fail and whose watches can stay without events.
type fakeSource struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]uint64 // value by name; the revision of an item is its value
	changes  []broker.Change[uint64]
	err      error
	silent   bool // watches report no changes
	lists    int
	watches  int
	changed  chan struct{}
}

func newFakeSource() *fakeSource {
	return &fakeSource{revision: 1, items: map[string]uint64{}, changed: make(chan struct{})}
}

// set changes or deletes an item.
func (s *fakeSource) set(name string, deleted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.items[name] = s.revision
	if deleted {
		delete(s.items, name)
	}
	s.changes = append(s.changes, broker.Change[uint64]{
		Item: broker.Item[uint64]{Name: name, Revision: s.revision, Value: s.revision}, Deleted: deleted,
	})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeSource) setState(err error, silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.err, s.silent = err, silent
}

func (s *fakeSource) List(
	context.Context, broker.Accept[uint64],
) ([]broker.Item[uint64], broker.Knowledge, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	var items []broker.Item[uint64]
	for name, value := range s.items {
		items = append(items, broker.Item[uint64]{Name: name, Revision: value, Value: value})
	}
	return items, broker.Knowledge{Position: broker.Position{Revision: s.revision}, At: time.Now()}, s.err
}

func (s *fakeSource) Watch(
	ctx context.Context, after broker.Position, wait time.Duration,
) ([]broker.Change[uint64], broker.Knowledge, error) {
	s.mu.Lock()
	s.watches++
	silent := s.silent
	s.mu.Unlock()
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		var found []broker.Change[uint64]
		for _, change := range s.changes {
			if change.Revision > after.Revision && !silent {
				found = append(found, change)
			}
		}
		revision, err, changed := s.revision, s.err, s.changed
		s.mu.Unlock()
		if err != nil {
			return nil, broker.Knowledge{}, err
		}
		if len(found) > 0 {
			return found, broker.Knowledge{Position: broker.Position{Revision: revision}, At: time.Now()}, nil
		}
		select {
		case <-changed:
		case <-timeout:
			return nil, broker.Knowledge{Position: after, At: time.Now()}, nil
		case <-ctx.Done():
			return nil, broker.Knowledge{}, ctx.Err()
		}
	}
}

func (s *fakeSource) Poll(ctx context.Context, after broker.Position, wait time.Duration) (bool, time.Time, error) {
	s.mu.Lock()
	err, changed := s.err, s.revision > after.Revision
	s.mu.Unlock()
	if err != nil || changed {
		return changed, time.Now(), err
	}
	waiter.Wait(ctx, wait)
	return false, time.Now(), nil
}

// follow runs a follower of source until the test ends and returns a function that returns its updates so far.
func follow(t *testing.T, source *fakeSource, options Options) func() []Update[uint64] {
	var mu sync.Mutex
	var updates []Update[uint64]
	if options.Gate == nil {
		options.Gate = NewGate()
	}
	f := New("test", source, func(update Update[uint64]) {
		mu.Lock()
		defer mu.Unlock()
		updates = append(updates, update)
	}, options, metrics.NewSet(), slog.New(slog.NewTextHandler(io.Discard, nil)))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return func() []Update[uint64] {
		mu.Lock()
		defer mu.Unlock()
		return slices.Clone(updates)
	}
}

// TestFollow guards against changes that are missed in normal operation, and against a listing for each change.
func TestFollow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := newFakeSource()
		source.set("a", false)
		updates := follow(t, source, Options{Wait: 10 * time.Second})
		time.Sleep(time.Second)
		source.set("b", false)
		time.Sleep(time.Second)
		source.set("a", true)
		time.Sleep(time.Second)
		got := updates()
		if len(got) != 3 || source.lists != 1 {
			t.Fatalf("updates: got %d with %d listings, want 3 with 1", len(got), source.lists)
		}
		last := got[2]
		if len(last.Items) != 1 || last.Items["b"].Value == 0 || !slices.Equal(last.Removed, []string{"a"}) || last.Listed {
			t.Errorf("last update: got %+v, want only b, with a removed", last)
		}
	})
}

// TestSilentWatch guards against changes that are missed because the watch does not report them.
func TestSilentWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := newFakeSource()
		source.setState(nil, true)
		updates := follow(t, source, Options{Wait: 25 * time.Second, PollWait: time.Second})
		time.Sleep(2 * time.Second)
		source.set("a", false)
		time.Sleep(2 * time.Second)
		got := updates()
		if last := got[len(got)-1]; last.Items["a"].Value == 0 || !last.Listed {
			t.Errorf("last update: got %+v, want a listing with a", last)
		}
	})
}

// TestStaleUpdates guards against a listing or change that is older than the current state and replaces it.
func TestStaleUpdates(t *testing.T) {
	f := New[uint64]("test", newFakeSource(), func(Update[uint64]) {}, Options{}, metrics.NewSet(),
		slog.New(slog.NewTextHandler(io.Discard, nil)))
	item := func(revision uint64) broker.Item[uint64] {
		return broker.Item[uint64]{Name: "a", Revision: revision, Value: revision}
	}
	at := func(revision uint64) broker.Knowledge {
		return broker.Knowledge{Position: broker.Position{Revision: revision}}
	}
	f.applyListing([]broker.Item[uint64]{item(5)}, at(5))
	f.applyListing([]broker.Item[uint64]{item(3)}, at(4))
	f.applyChanges([]broker.Change[uint64]{{Item: item(4)}}, at(6))
	f.applyChanges([]broker.Change[uint64]{{Item: item(3), Deleted: true}}, at(7))
	if got, want := f.items["a"].Value, uint64(5); got != want {
		t.Errorf("value: got %d, want %d", got, want)
	}
}

// TestGate guards against calls of every follower during a store outage, and against followers that miss changes after
// it.
func TestGate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const followers = 4
		gate := NewGate()
		sources := make([]*fakeSource, followers)
		updates := make([]func() []Update[uint64], followers)
		for i := range sources {
			sources[i] = newFakeSource()
			updates[i] = follow(t, sources[i], Options{Wait: 25 * time.Second, Gate: gate})
		}
		time.Sleep(time.Second)
		calls := func() (total int) {
			for _, source := range sources {
				source.mu.Lock()
				total += source.lists + source.watches
				source.mu.Unlock()
			}
			return total
		}
		for _, source := range sources {
			source.setState(errors.New("away"), false)
			source.set("a", false) // ends the current watch
		}
		before := calls()
		time.Sleep(10 * time.Second)
		if got, want := calls()-before, followers+10*int(time.Second/maxBackoff)*2; got > want {
			t.Errorf("calls in 10 s of a store outage: got %d, want at most %d", got, want)
		}
		for _, source := range sources {
			source.setState(nil, false)
		}
		time.Sleep(2 * time.Second)
		for i := range updates {
			got := updates[i]()
			if last := got[len(got)-1]; last.Items["a"].Value == 0 {
				t.Errorf("follower %d: got %+v, want the item a", i, last)
			}
		}
	})
}

// droppingSource is a collection whose store drops the first poll: it never answers it.
type droppingSource struct {
	*fakeSource

	polls int
}

func (s *droppingSource) Poll(ctx context.Context, after broker.Position, wait time.Duration) (bool, time.Time, error) {
	s.mu.Lock()
	s.polls++
	first := s.polls == 1
	s.mu.Unlock()
	if first {
		<-ctx.Done()
		return false, time.Time{}, ctx.Err()
	}
	return s.fakeSource.Poll(ctx, after, wait)
}

// TestDroppedPoll guards against a copy that seems old because the store has dropped one poll: the hosts that read from
// this one would all turn to the store.
func TestDroppedPoll(t *testing.T) {
	const (
		pollWait = 500 * time.Millisecond
		maxAge   = 1500 * time.Millisecond // at which other relays leave this one
	)
	synctest.Test(t, func(t *testing.T) {
		source := &droppingSource{fakeSource: newFakeSource()}
		f := New("test", source, func(Update[uint64]) {}, Options{Wait: 25 * time.Second, PollWait: pollWait, Gate: NewGate()},
			metrics.NewSet(), slog.New(slog.NewTextHandler(io.Discard, nil)))
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go f.Run(ctx)
		for range 400 {
			time.Sleep(10 * time.Millisecond)
			if age := time.Since(f.Known().At); age >= maxAge {
				t.Fatalf("age of the copy: got %s, want less than %s", age, maxAge)
			}
		}
		cancel()
		synctest.Wait()
	})
}
