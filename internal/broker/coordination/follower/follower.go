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
	// pollSlack is how much longer than its wait a poll may take. It is then repeated without a wait: the store may have
	// dropped it, and the copy must not seem old for that.
	pollSlack = 300 * time.Millisecond
	// probeWait is the wait of a watch that only tests whether the store answers again.
	probeWait = time.Millisecond
	// minBackoff and maxBackoff bound the delay after a failed call. After an outage of the store, a host must be up to
	// date within the few seconds that the propagation of a configuration may take.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
	// watchGrace is how long the watch may take to report a change that a poll has reported.
	watchGrace = 300 * time.Millisecond
	// watchCheckInterval is the pause between checks whether the watch has reported it.
	watchCheckInterval = 50 * time.Millisecond
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
	// Renewed is called when the copy is known to have every change up to a later time; nil if nobody needs to know.
	Renewed func(broker.Knowledge)
	// Gate is shared by all followers of a store.
	Gate *Gate
}

// Update is a new state of a collection; Items must not be modified.
type Update[T any] struct {
	Items map[string]broker.Item[T]
	Known broker.Knowledge
	// Listed reports whether the state comes from a listing, before which changes may have been missed.
	Listed bool
	// Gap is the time between what the previous state and a listing are known up to, zero without a previous state, and
	// Failed whether a collection of the store could not be read since then.
	Gap    time.Duration
	Failed bool
	// Returned reports whether the store has come back from an older copy since the previous state, so that entries may be
	// missing or older for the age of the copy, and Previous is the position of that state.
	Returned bool
	Previous broker.Position
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
	position broker.Position
	loaded   bool // an update has been applied
	failing  bool // the last call failed

	current atomic.Pointer[broker.Position] // copy of position for concurrent readers
	knownAt atomic.Int64                    // nanoseconds from epoch to the time up to which items have every change
	epoch   time.Time
	refresh chan struct{} // requests a listing

	calls, polls, failures, updates *metrics.Counter
}

// New returns a follower of source that calls apply with each update, one at a time.
func New[T any](
	name string, source broker.Source[T], apply func(Update[T]), options Options, set *metrics.Set, logger *slog.Logger,
) *Follower[T] {
	counter := func(metric string) *metrics.Counter {
		return set.GetOrCreateCounter(fmt.Sprintf("yuccarock_collection_%s_total{collection=%q}", metric, name))
	}
	f := &Follower[T]{
		name: name, source: source, apply: apply, options: options, logger: logger.With("collection", name),
		refresh: make(chan struct{}, 1), epoch: time.Now(),
		calls: counter("calls"), polls: counter("glances"), failures: counter("failures"), updates: counter("updates"),
	}
	f.current.Store(&broker.Position{})
	set.NewGauge(fmt.Sprintf("yuccarock_collection_age_seconds{collection=%q}", name), func() float64 {
		return time.Since(f.Known().At).Seconds()
	})
	return f
}

// Refresh requests a listing of the collection; it interrupts the current watch.
func (f *Follower[T]) Refresh() {
	select {
	case f.refresh <- struct{}{}:
	default:
	}
}

// Known returns up to which point the copy has every change. Its time is that of New before the first update.
func (f *Follower[T]) Known() broker.Knowledge {
	return broker.Knowledge{Position: *f.current.Load(), At: f.epoch.Add(time.Duration(f.knownAt.Load()))}
}

// renew records that the copy has every change up to a time, unless that is known already.
func (f *Follower[T]) renew(at time.Time) {
	next := int64(at.Sub(f.epoch))
	for {
		last := f.knownAt.Load()
		if next <= last {
			return
		}
		if f.knownAt.CompareAndSwap(last, next) {
			break
		}
	}
	if f.options.Renewed != nil {
		f.options.Renewed(f.Known())
	}
}

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
			f.logger.Info("listing the collection again", "at", f.position, "knownFor", time.Since(f.Known().At), "reason", err)
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
		select {
		case <-f.refresh: // this listing is what was requested
		default:
		}
		items, known, err := f.source.List(callCtx, f.accepts)
		if err != nil {
			return err
		}
		*listed = true
		f.applyListing(items, known)
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
	changes, known, err := f.source.Watch(callCtx, f.position, wait)
	cancel()
	<-ended
	if refreshed {
		*listed = false
		return nil
	}
	if err != nil {
		return err
	}
	if known.Era != f.position.Era {
		return errors.Join(broker.ErrRelist, fmt.Errorf("the changes are of era %d", known.Era))
	}
	f.applyChanges(changes, known)
	return nil
}

// reportHistoryGone logs that the store has dropped its history and informs the other followers.
func (f *Follower[T]) reportHistoryGone() {
	f.logger.Info("history of the collection is gone; listing it again", "at", *f.current.Load())
	if f.options.HistoryGone != nil {
		f.options.HistoryGone()
	}
}

// poll checks until ctx is done that the watch does not miss changes, and requests a listing if it does. While there are
// no changes, it renews the time up to which the copy has all of them.
func (f *Follower[T]) poll(ctx context.Context) {
	wait := f.options.PollWait
	for ctx.Err() == nil {
		position := *f.current.Load()
		if position.Revision == 0 {
			waiter.Wait(ctx, minBackoff)
			continue
		}
		f.options.Gate.Await(ctx)
		f.polls.Inc()
		slack := pollSlack
		if wait == probeWait {
			slack = watchSlack
		}
		callCtx, cancel := context.WithTimeout(ctx, wait+slack)
		changed, at, err := f.source.Poll(callCtx, position, wait)
		cancel()
		wait = f.options.PollWait
		switch {
		case slack == pollSlack && errors.Is(err, context.DeadlineExceeded):
			wait = probeWait
		case errors.Is(err, broker.ErrHistoryGone):
			f.reportHistoryGone()
			waiter.Wait(ctx, f.options.PollWait)
		case err != nil:
			waiter.Wait(ctx, maxBackoff)
		case !changed:
			f.renew(at)
		default:
			// The watch normally reports the change at the same time.
			for end := time.Now().Add(f.options.Pause + watchGrace); *f.current.Load() == position && time.Now().Before(end); {
				waiter.Wait(ctx, watchCheckInterval)
			}
			if *f.current.Load() == position && ctx.Err() == nil {
				f.logger.Info("the watch missed a change; listing the collection again", "at", position)
				f.Refresh()
				waiter.Wait(ctx, f.options.PollWait)
			}
			wait = probeWait // shows at once that the watch has reported everything
		}
	}
}

// accepts reports whether a listing from another host can replace the current state: whether it is not older. At a lower
// revision of the same era it has to hold the same items, because the store counts the changes of all collections: the
// other host may have missed nothing.
func (f *Follower[T]) accepts(items []broker.Item[T], known broker.Knowledge) bool {
	if !f.loaded || !known.Before(f.position) || known.Era == f.position.Era && f.holds(items) {
		return true
	}
	f.logger.Warn("refused a listing of another host that is older than the current state", "at", known.Position,
		"known", f.position, "age", time.Since(known.At))
	return false
}

// holds reports whether the current state has the given items and no others.
func (f *Follower[T]) holds(items []broker.Item[T]) bool {
	for _, item := range items {
		if current, ok := f.items[item.Name]; !ok || current.Revision != item.Revision {
			return false
		}
	}
	return len(items) == len(f.items)
}

// applyListing applies a listing unless it is older than the current state. That of a later era replaces the state,
// whatever its revisions.
func (f *Follower[T]) applyListing(items []broker.Item[T], known broker.Knowledge) {
	if f.loaded && known.Before(f.position) {
		if known.Era == f.position.Era && f.holds(items) {
			f.renew(known.At)
		} else {
			f.logger.Warn("ignored a listing older than the current state", "at", known.Position, "known", f.position)
		}
		return
	}
	next := make(map[string]broker.Item[T], len(items))
	for _, item := range items {
		if previous, ok := f.items[item.Name]; ok && known.Era == f.position.Era && previous.Revision > item.Revision {
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
	f.publish(next, known, true, removed)
}

// applyChanges applies the changes of a watch, except those older than the current revision of their item. They are of the
// era of the current state.
func (f *Follower[T]) applyChanges(changes []broker.Change[T], known broker.Knowledge) {
	known.Revision = max(f.position.Revision, known.Revision)
	if len(changes) == 0 {
		f.setPosition(known.Position)
		f.renew(known.At)
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
	f.publish(next, known, false, removed)
}

func (f *Follower[T]) publish(
	items map[string]broker.Item[T], known broker.Knowledge, listed bool, removed []string,
) {
	var gap time.Duration
	failed := false
	if listed && f.loaded {
		previous := f.Known().At
		gap, failed = max(known.At.Sub(previous), 0), f.options.Gate.failedSince(previous)
	}
	previous, returned := f.position, f.loaded && known.Era > f.position.Era
	f.items, f.loaded = items, true
	f.updates.Inc()
	f.apply(Update[T]{
		Items: items, Known: known, Listed: listed, Gap: gap, Failed: failed, Returned: returned, Previous: previous,
		Removed: removed,
	})
	f.setPosition(known.Position) // after apply, so that a concurrent poll does not renew the previous state with it
	f.renew(known.At)
}

func (f *Follower[T]) setPosition(position broker.Position) {
	f.position = position
	f.current.Store(&position)
}

func (f *Follower[T]) recordFailure(err error) {
	f.failures.Inc()
	if !f.failing {
		f.failing = true
		f.logger.Warn("lost the store", "at", f.position.Revision, "error", err)
	}
}

func (f *Follower[T]) recordSuccess() {
	if f.failing {
		f.failing = false
		f.logger.Info("regained the store", "at", f.position.Revision)
	}
}
