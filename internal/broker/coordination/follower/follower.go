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
	// listTimeout is the timeout of a listing. The store answers in milliseconds, or in hundreds of them when it is slow.
	// The timeout is short because a call sent during an outage is not answered after the outage either.
	listTimeout = 800 * time.Millisecond
	// In a series of failures, every longListEvery-th call has longListTimeout, for a large collection on a slow store.
	longListEvery   = 3
	longListTimeout = 3 * time.Second
	// watchSlack is how much longer than its wait a watch may take before it times out.
	watchSlack = 800 * time.Millisecond
	// probeWait is the wait of a watch that only tests whether the store answers again.
	probeWait = time.Millisecond
	// minBackoff and maxBackoff bound the delay after a failed call. After an outage of the store, a host must be up to
	// date within the few seconds that the propagation of a configuration may take.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
	// watchGrace is how long the watch may take to report a change that a poll has reported.
	watchGrace = 300 * time.Millisecond
)

// Options configure a Follower.
type Options struct {
	// Wait is the maximum time that one watch waits for changes.
	Wait time.Duration
	// Pause is the minimum time between two watches, which limits the number of calls when there are many changes.
	Pause time.Duration
	// PollWait is the wait of the polls that check the watch, zero to disable them. A watch can stop reporting events
	// for good, for example if the store drops its history while the watch waits.
	PollWait time.Duration
	// HistoryGone is called if the store has dropped its history, which affects all its collections.
	HistoryGone func()
	// Gate is shared by all followers of a store.
	Gate *Gate
}

// Update is a new state of a collection; Items must not be modified.
type Update[T any] struct {
	Items    map[string]broker.Item[T]
	Revision uint64
	// Listed reports whether the state comes from a listing, before which changes may have been missed.
	Listed bool
	// Removed are the names of the items that the previous state had and this one does not.
	Removed []string
}

// Follower keeps a copy of one collection.
type Follower[T any] struct {
	name    string
	source  broker.Source[T]
	apply   func(Update[T])
	options Options
	logger  *slog.Logger

	items    map[string]broker.Item[T]
	revision uint64
	loaded   bool // an update has been applied
	failing  bool // the last call failed

	current     atomic.Uint64 // copy of revision for concurrent readers
	lastContact atomic.Int64  // nanoseconds from epoch to the last answer of the source
	epoch       time.Time
	refresh     chan struct{} // requests a listing

	calls, polls, failures, updates *metrics.Counter
}

// New returns a follower of source that calls apply with each update, one at a time.
func New[T any](
	name string, source broker.Source[T], apply func(Update[T]), options Options, set *metrics.Set, logger *slog.Logger,
) *Follower[T] {
	counter := func(metric string) *metrics.Counter {
		return set.GetOrCreateCounter(fmt.Sprintf("yuccarock_collection_%s_total{collection=%q}", metric, name))
	}
	return &Follower[T]{
		name: name, source: source, apply: apply, options: options, logger: logger.With("collection", name),
		refresh: make(chan struct{}, 1), epoch: time.Now(),
		calls: counter("calls"), polls: counter("glances"), failures: counter("failures"), updates: counter("updates"),
	}
}

// Refresh requests a listing of the collection; it interrupts the current watch.
func (f *Follower[T]) Refresh() {
	select {
	case f.refresh <- struct{}{}:
	default:
	}
}

// Contact returns the time of the source's last answer, or the zero time before the first one.
func (f *Follower[T]) Contact() time.Time {
	if after := f.lastContact.Load(); after > 0 {
		return f.epoch.Add(time.Duration(after))
	}
	return time.Time{}
}

func (f *Follower[T]) recordContact() { f.lastContact.Store(int64(time.Since(f.epoch))) }

// Run follows the collection until ctx is done.
func (f *Follower[T]) Run(ctx context.Context) {
	if f.options.PollWait > 0 {
		go f.poll(ctx)
	}
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval, delay.MaxInterval = minBackoff, maxBackoff
	listed, probing, failures := false, false, 0
	for ctx.Err() == nil {
		// Before its first update, a follower does not wait for the store: the source may list from another host.
		if !probing && f.loaded {
			probing = f.options.Gate.enter(ctx)
		}
		started := time.Now()
		err := f.listOrWatch(ctx, &listed, probing, failures)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, broker.ErrHistoryGone) {
			listed, err = false, nil
			f.reportHistoryGone()
		}
		if errors.Is(err, broker.ErrRelist) {
			listed, err = false, nil
		}
		wait := f.options.Pause - time.Since(started)
		if err != nil {
			f.recordFailure(err)
			f.options.Gate.failed()
			wait = delay.NextBackOff()
			failures++
		} else {
			f.recordSuccess()
			f.options.Gate.answered()
			delay.Reset()
			probing, failures = false, 0
		}
		waiter.Wait(ctx, wait)
	}
}

// listOrWatch makes one call to the source: a listing, or a watch once the collection has been listed.
func (f *Follower[T]) listOrWatch(ctx context.Context, listed *bool, probing bool, failures int) error {
	f.calls.Inc()
	if !*listed {
		timeout := listTimeout
		if failures%longListEvery == longListEvery-1 {
			timeout = longListTimeout
		}
		callCtx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		items, revision, err := f.source.List(callCtx)
		if err != nil {
			return err
		}
		*listed = true
		f.applyListing(items, revision)
		return nil
	}
	wait := f.options.Wait
	if probing {
		wait = probeWait // the other followers wait for the answer
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
	changes, revision, err := f.source.Watch(callCtx, f.revision, wait)
	cancel()
	<-ended
	if refreshed {
		*listed = false
		return nil
	}
	if err != nil {
		return err
	}
	f.applyChanges(changes, revision)
	return nil
}

// reportHistoryGone logs that the store has dropped its history and informs the other followers.
func (f *Follower[T]) reportHistoryGone() {
	f.logger.Info("history of the collection is gone; listing it again", "at", f.current.Load())
	if f.options.HistoryGone != nil {
		f.options.HistoryGone()
	}
}

// poll checks until ctx is done that the watch does not miss changes, and requests a listing if it does.
func (f *Follower[T]) poll(ctx context.Context) {
	for ctx.Err() == nil {
		revision := f.current.Load()
		if revision == 0 {
			waiter.Wait(ctx, minBackoff)
			continue
		}
		f.polls.Inc()
		callCtx, cancel := context.WithTimeout(ctx, f.options.PollWait+watchSlack)
		changed, err := f.source.Poll(callCtx, revision, f.options.PollWait)
		cancel()
		switch {
		case errors.Is(err, broker.ErrHistoryGone):
			f.reportHistoryGone()
			waiter.Wait(ctx, f.options.PollWait)
		case err != nil:
			waiter.Wait(ctx, maxBackoff)
		case !changed:
			f.recordContact()
		default:
			f.recordContact()
			// The watch normally reports the change at the same time.
			waiter.Wait(ctx, f.options.Pause+watchGrace)
			if f.current.Load() == revision {
				f.logger.Info("the watch missed a change; listing the collection again", "at", revision)
				f.Refresh()
				waiter.Wait(ctx, f.options.PollWait)
			}
		}
	}
}

// applyListing applies a listing unless it is older than the current state.
func (f *Follower[T]) applyListing(items []broker.Item[T], revision uint64) {
	if f.loaded && revision < f.revision {
		f.logger.Warn("ignored a listing older than the current state", "at", revision, "known", f.revision)
		return
	}
	next := make(map[string]broker.Item[T], len(items))
	for _, item := range items {
		if previous, ok := f.items[item.Name]; ok && previous.Revision > item.Revision {
			item = previous
		}
		next[item.Name] = item
	}
	var removed []string
	for name := range f.items {
		if _, ok := next[name]; !ok {
			removed = append(removed, name)
		}
	}
	f.publish(next, revision, true, removed)
}

// applyChanges applies the changes of a watch, except those older than the current revision of their item.
func (f *Follower[T]) applyChanges(changes []broker.Change[T], revision uint64) {
	if len(changes) == 0 {
		f.revision = max(f.revision, revision)
		f.current.Store(f.revision)
		return
	}
	next := maps.Clone(f.items)
	if next == nil {
		next = make(map[string]broker.Item[T])
	}
	var removed []string
	for _, change := range changes {
		previous, ok := next[change.Name]
		switch {
		case change.Revision != 0 && ok && change.Revision < previous.Revision:
		case change.Deleted:
			delete(next, change.Name)
			if ok {
				removed = append(removed, change.Name)
			}
		default:
			next[change.Name] = change.Item
		}
	}
	f.publish(next, max(f.revision, revision), false, removed)
}

func (f *Follower[T]) publish(items map[string]broker.Item[T], revision uint64, listed bool, removed []string) {
	f.items, f.revision, f.loaded = items, revision, true
	f.current.Store(revision)
	f.updates.Inc()
	f.apply(Update[T]{Items: items, Revision: revision, Listed: listed, Removed: removed})
}

func (f *Follower[T]) recordFailure(err error) {
	f.failures.Inc()
	if !f.failing {
		f.failing = true
		f.logger.Warn("lost the store", "at", f.revision, "error", err)
	}
}

func (f *Follower[T]) recordSuccess() {
	f.recordContact()
	if f.failing {
		f.failing = false
		f.logger.Info("regained the store", "at", f.revision)
	}
}
