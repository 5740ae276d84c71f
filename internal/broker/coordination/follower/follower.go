package follower

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cenkalti/backoff/v5"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/waiter"
)

const (
	// listTimeout bounds one reading of a collection. The store answers in milliseconds, and one that is slow takes
	// hundreds of them; a call that was sent while the store was silent gets no answer after its return either.
	listTimeout = 800 * time.Millisecond
	// patientEvery of the readings in a row that fail has patientTimeout, for a large collection on a slow store.
	patientEvery   = 3
	patientTimeout = 3 * time.Second
	// watchSlack is how much longer than its wait a watch may take before its connection counts as silent.
	watchSlack = 800 * time.Millisecond
	// tryWait is the wait of a watch that shows whether the store is back.
	tryWait = time.Millisecond
	// minBackoff and maxBackoff bound the pause after a failed call. A host has to be up to date again within the
	// few seconds that configurations may take, counted from the store's return.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
	// watchLead is how long the watch has to report a change that a glance has seen.
	watchLead = 300 * time.Millisecond
)

// Options are the settings of a follower.
type Options struct {
	// Wait is the longest wait of one watch.
	Wait time.Duration
	// Pause is the least time between two watches, so that many changes in a row cost few calls.
	Pause time.Duration
	// Glance is the wait of one cheap look beside the watch, zero for none. A watch can stay without events for good, as
	// when the history is dropped while it waits.
	Glance time.Duration
	// HistoryGone is called where the history of the store was found to be gone, which concerns all its collections.
	HistoryGone func()
	// Gate is shared by the followers of one store.
	Gate *Gate
}

// Update is a new state of a collection; its map must not be changed.
type Update[T any] struct {
	Items map[string]broker.Item[T]
	At    uint64
	// Listed is whether the state was read as a whole, so that changes before it may have gone unseen.
	Listed bool
	// Removed are the names that the update no longer has.
	Removed []string
}

// Follower follows one collection.
type Follower[T any] struct {
	name    string
	source  broker.Source[T]
	apply   func(Update[T])
	options Options
	logger  *slog.Logger

	items map[string]broker.Item[T]
	at    uint64
	known bool // a state has been applied
	lost  bool // the last call failed

	seen    atomic.Uint64 // at, for the glances
	contact atomic.Int64  // nanoseconds from epoch to the last answer
	epoch   time.Time
	refresh chan struct{} // asks for a reading of the whole collection

	calls, glances, failures, updates *metrics.Counter
}

// New returns a follower of source that calls apply with each state, one at a time.
func New[T any](
	name string, source broker.Source[T], apply func(Update[T]), options Options, set *metrics.Set, logger *slog.Logger,
) *Follower[T] {
	counter := func(what string) *metrics.Counter {
		return set.GetOrCreateCounter(fmt.Sprintf("yuccarock_collection_%s_total{collection=%q}", what, name))
	}
	return &Follower[T]{
		name: name, source: source, apply: apply, options: options, logger: logger.With("collection", name),
		refresh: make(chan struct{}, 1), epoch: time.Now(),
		calls: counter("calls"), glances: counter("glances"), failures: counter("failures"), updates: counter("updates"),
	}
}

// Refresh asks for a reading of the whole collection in place of the watch that waits.
func (f *Follower[T]) Refresh() {
	select {
	case f.refresh <- struct{}{}:
	default:
	}
}

// Contact returns when the source answered last, the zero time before its first answer.
func (f *Follower[T]) Contact() time.Time {
	if after := f.contact.Load(); after > 0 {
		return f.epoch.Add(time.Duration(after))
	}
	return time.Time{}
}

func (f *Follower[T]) touch() { f.contact.Store(int64(time.Since(f.epoch))) }

// Run follows the collection until ctx ends.
func (f *Follower[T]) Run(ctx context.Context) {
	if f.options.Glance > 0 {
		go f.glance(ctx)
	}
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = minBackoff, maxBackoff
	listed, trying, failures := false, false, 0
	for ctx.Err() == nil {
		// A follower that knows nothing yet may learn it from another host.
		if !trying && f.known {
			trying = f.options.Gate.enter(ctx)
		}
		started := time.Now()
		err := f.step(ctx, &listed, trying, failures)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, broker.ErrHistoryGone) {
			listed, err = false, nil
			f.gone()
		}
		if errors.Is(err, broker.ErrRelist) {
			listed, err = false, nil
		}
		wait := f.options.Pause - time.Since(started)
		if err != nil {
			f.fail(err)
			f.options.Gate.failed()
			wait = pause.NextBackOff()
			failures++
		} else {
			f.recover()
			f.options.Gate.answered()
			pause.Reset()
			trying, failures = false, 0
		}
		waiter.Wait(ctx, wait)
	}
}

// step makes one call: a reading of the whole collection, or a watch once it has been read.
func (f *Follower[T]) step(ctx context.Context, listed *bool, trying bool, failures int) error {
	f.calls.Inc()
	if !*listed {
		timeout := listTimeout
		if failures%patientEvery == patientEvery-1 {
			timeout = patientTimeout
		}
		callCtx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		items, at, err := f.source.List(callCtx)
		if err != nil {
			return err
		}
		*listed = true
		f.replace(items, at)
		return nil
	}
	wait := f.options.Wait
	if trying {
		wait = tryWait // the others wait for the answer
	}
	callCtx, cancel := context.WithTimeout(ctx, wait+watchSlack)
	defer cancel()
	refreshed := false
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		select {
		case <-f.refresh:
			refreshed = true
			cancel()
		case <-callCtx.Done():
		}
	}()
	changes, at, err := f.source.Watch(callCtx, f.at, wait)
	cancel()
	<-ended
	if refreshed {
		*listed = false
		return nil
	}
	if err != nil {
		return err
	}
	f.change(changes, at)
	return nil
}

// gone tells the other followers of the store that its history is gone.
func (f *Follower[T]) gone() {
	f.logger.Info("history of the collection is gone; reading it again", "at", f.seen.Load())
	if f.options.HistoryGone != nil {
		f.options.HistoryGone()
	}
}

// glance looks at the collection beside the watch until ctx ends.
func (f *Follower[T]) glance(ctx context.Context) {
	for ctx.Err() == nil {
		at := f.seen.Load()
		if at == 0 {
			waiter.Wait(ctx, minBackoff)
			continue
		}
		f.glances.Inc()
		callCtx, cancel := context.WithTimeout(ctx, f.options.Glance+watchSlack)
		changed, err := f.source.Glance(callCtx, at, f.options.Glance)
		cancel()
		switch {
		case errors.Is(err, broker.ErrHistoryGone):
			f.gone()
			waiter.Wait(ctx, f.options.Glance)
		case err != nil:
			waiter.Wait(ctx, maxBackoff)
		case !changed:
			f.touch()
		default:
			f.touch()
			// The watch normally hears of a change at the same time.
			waiter.Wait(ctx, f.options.Pause+watchLead)
			if f.seen.Load() == at {
				f.logger.Info("the watch missed a change; reading the collection again", "at", at)
				f.Refresh()
				waiter.Wait(ctx, f.options.Glance)
			}
		}
	}
}

// replace takes a whole reading; one that is older than what is known is ignored.
func (f *Follower[T]) replace(items []broker.Item[T], at uint64) {
	if f.known && at < f.at {
		f.logger.Warn("ignored a reading older than what is known", "at", at, "known", f.at)
		return
	}
	next := make(map[string]broker.Item[T], len(items))
	for _, item := range items {
		if held, ok := f.items[item.Name]; ok && held.Revision > item.Revision {
			item = held
		}
		next[item.Name] = item
	}
	var removed []string
	for name := range f.items {
		if _, ok := next[name]; !ok {
			removed = append(removed, name)
		}
	}
	f.publish(next, at, true, removed)
}

// change takes the events of a watch; an event older than the known state of its object is ignored.
func (f *Follower[T]) change(changes []broker.Change[T], at uint64) {
	if len(changes) == 0 {
		f.at = max(f.at, at)
		f.seen.Store(f.at)
		return
	}
	next := maps.Clone(f.items)
	if next == nil {
		next = make(map[string]broker.Item[T])
	}
	var removed []string
	for _, change := range changes {
		held, ok := next[change.Name]
		switch {
		case change.Revision != 0 && ok && change.Revision < held.Revision:
		case change.Deleted:
			delete(next, change.Name)
			if ok {
				removed = append(removed, change.Name)
			}
		default:
			next[change.Name] = change.Item
		}
	}
	f.publish(next, max(f.at, at), false, removed)
}

func (f *Follower[T]) publish(items map[string]broker.Item[T], at uint64, listed bool, removed []string) {
	f.items, f.at, f.known = items, at, true
	f.seen.Store(at)
	f.updates.Inc()
	f.apply(Update[T]{Items: items, At: at, Listed: listed, Removed: removed})
}

func (f *Follower[T]) fail(err error) {
	f.failures.Inc()
	if !f.lost {
		f.lost = true
		f.logger.Warn("lost the store", "at", f.at, "error", err)
	}
}

func (f *Follower[T]) recover() {
	f.touch()
	if f.lost {
		f.lost = false
		f.logger.Info("regained the store", "at", f.at)
	}
}
