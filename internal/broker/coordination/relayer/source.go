package relayer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/waiter"
)

const (
	// requestSlack is how much longer than its wait a request may take. Requests for changes may not take longer than
	// maxAge after the time up to which the last answer has all of them, but at least minRequestTime.
	requestSlack   = 600 * time.Millisecond
	minRequestTime = 300 * time.Millisecond
	// answerTime is the part of the time of a request for changes in which the relay has to answer, also without changes: one
	// that knows nothing new must not pass for silent.
	answerTime = 100 * time.Millisecond
	// At most maxFallbacks hosts are asked for their last state, each with fallbackTimeout.
	maxFallbacks    = 3
	fallbackTimeout = 300 * time.Millisecond
	// While no relay can be reached, hosts try them each reconnectInterval. A host that starts does so for startPatience,
	// and one with a copy until that is reconnectAge old: relays that were restarted are back within that time, and the
	// store would be called by all hosts of the zone at once.
	reconnectInterval = 100 * time.Millisecond
	startPatience     = 400 * time.Millisecond
	reconnectAge      = 1500 * time.Millisecond
	// farTimeout is the timeout of a listing from a relay in another zone, after which there is still time to list the
	// collection elsewhere.
	farTimeout = 300 * time.Millisecond
)

// Source reads a collection from a relay, or from the store while no relay answers.
type Source[T any] struct {
	name   string
	direct broker.Source[T]
	relays *Relays
	// watchesStore reports whether a watch of the store is in progress, which may outlast the retry delay of a relay.
	watchesStore atomic.Bool

	mu        sync.Mutex
	answered  bool           // a relay has answered
	lastRelay netip.AddrPort // relay that gave the last answer; invalid if the store gave a later one
	position  string         // position in the change log of lastRelay
	knownAt   time.Time      // time up to which the last answer has every change
	// fallbackAt is when other hosts were last asked for their last state.
	fallbackAt time.Time
}

// NewSource returns a source of the collection that relays serve under name; direct reads it from the store.
func NewSource[T any](name string, direct broker.Source[T], relays *Relays) *Source[T] {
	return &Source[T]{name: name, direct: direct, relays: relays}
}

// Path returns the URL path of a collection's feed.
func Path(name string) string { return "/feeds/" + name }

// List returns all items that a relay has, or else the store, or else, as their last state, a fallback host. A relay or
// fallback whose items accept refuses is passed over.
func (s *Source[T]) List(
	ctx context.Context, accept broker.Accept[T],
) ([]broker.Item[T], broker.Knowledge, error) {
	patience := time.Now()
	if !s.hasAnswer() {
		patience = patience.Add(startPatience)
	}
	for {
		if items, known, ok := s.listRelays(ctx, accept); ok {
			return items, known, nil
		}
		if !time.Now().Before(patience) || !s.relays.retryRestarting() || !waiter.Wait(ctx, reconnectInterval) {
			break
		}
	}
	items, known, err := s.listStore(ctx, accept)
	if err != nil && s.mayRequestFallbacks(time.Now()) {
		if answer, known, ok := s.requestFallbacks(ctx, accept); ok {
			return answer.Items, known, nil
		}
	}
	return items, known, err
}

// mayRequestFallbacks reports whether other hosts may be asked for their last state: always by a host without a copy, and
// otherwise each retryDelay, because the answers are whole collections.
func (s *Source[T]) mayRequestFallbacks(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.knownAt.IsZero() && now.Sub(s.fallbackAt) < retryDelay {
		return false
	}
	s.fallbackAt = now
	return true
}

// listStore lists the collection at the store.
func (s *Source[T]) listStore(ctx context.Context, accept broker.Accept[T]) ([]broker.Item[T], broker.Knowledge, error) {
	if !s.relays.mayCallStore(time.Now()) {
		return nil, broker.Knowledge{}, s.storeAwayError("list")
	}
	if ctx.Err() != nil { // the relays have used up the time; that is no failure of the store
		return nil, broker.Knowledge{}, &Error{Op: "list " + s.name, Kind: KindUnreachable, Err: errors.WithStack(ctx.Err())}
	}
	s.leaveRelay()
	items, known, err := s.direct.List(ctx, accept)
	s.recordStoreCall(known, err)
	return items, known, err
}

// watchStore watches the collection at the store, and not for long if this host has relays to return to.
func (s *Source[T]) watchStore(
	ctx context.Context, after broker.Position, wait time.Duration,
) ([]broker.Change[T], broker.Knowledge, error) {
	if !s.relays.mayCallStore(time.Now()) {
		return nil, broker.Knowledge{}, s.storeAwayError("watch")
	}
	s.leaveRelay()
	s.watchesStore.Store(true)
	defer s.watchesStore.Store(false)
	if s.relays.any() {
		wait = min(wait, retryDelay)
	}
	changes, known, err := s.direct.Watch(ctx, after, wait)
	s.recordStoreCall(known, err)
	return changes, known, err
}

// recordStoreCall records the result of a call of the store, unless this host ended the call itself.
func (s *Source[T]) recordStoreCall(known broker.Knowledge, err error) {
	if err == nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.knownAt = known.At
		return
	}
	if !errors.Is(err, broker.ErrHistoryGone) && !errors.Is(err, context.Canceled) {
		s.relays.storeFailed(time.Now())
	}
}

func (s *Source[T]) storeAwayError(op string) error {
	return &Error{Op: op + " " + s.name, Kind: KindRefused, Err: errors.New("the store has just failed to answer")}
}

// hasAnswer reports whether a relay has ever answered.
func (s *Source[T]) hasAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answered
}

// leaveRelay makes the host list the collection when it returns to a relay, whose changes may be older than its state.
func (s *Source[T]) leaveRelay() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastRelay = netip.AddrPort{}
}

// listRelays returns all items that a relay has, or false if none has items that accept does not refuse.
func (s *Source[T]) listRelays(ctx context.Context, accept broker.Accept[T]) ([]broker.Item[T], broker.Knowledge, bool) {
	for ctx.Err() == nil {
		relay, ok := s.relays.pick(time.Now(), netip.AddrPort{}, s.hasTime())
		if !ok {
			break
		}
		timeout := requestSlack
		if relay.Far {
			timeout = farTimeout
		}
		answer, known, err := s.requestChanges(ctx, relay, "", timeout)
		if err != nil {
			continue
		}
		if answer.Full && accept(answer.Items, known) {
			return answer.Items, known, true
		}
		s.relays.fail(relay.Address, time.Now(), failureRefused)
	}
	return nil, broker.Knowledge{}, false
}

// requestFallbacks returns the last state of a randomly chosen fallback host.
func (s *Source[T]) requestFallbacks(
	ctx context.Context, accept broker.Accept[T],
) (reply[T], broker.Knowledge, bool) {
	s.relays.mu.Lock()
	fallbacks := slices.Clone(s.relays.fallbacks)
	s.relays.mu.Unlock()
	rand.Shuffle(len(fallbacks), func(i, k int) { fallbacks[i], fallbacks[k] = fallbacks[k], fallbacks[i] })
	for _, fallback := range fallbacks[:min(len(fallbacks), maxFallbacks)] {
		// ctx may have expired while the store did not answer.
		answer, known, err := s.request(context.WithoutCancel(ctx), fallback, "old=1&far=1", fallbackTimeout)
		if err == nil && answer.Full && accept(answer.Items, known) {
			return answer, known, true
		}
	}
	return reply[T]{}, broker.Knowledge{}, false
}

// Watch returns the changes after a position, or an error with ErrRelist after a change of relays.
func (s *Source[T]) Watch(
	ctx context.Context, after broker.Position, wait time.Duration,
) ([]broker.Change[T], broker.Knowledge, error) {
	s.mu.Lock()
	lastRelay, position, knownAt := s.lastRelay, s.position, s.knownAt
	s.mu.Unlock()
	relay, ok := s.relays.pick(time.Now(), lastRelay, s.hasTime())
	if !ok {
		return s.watchStore(ctx, after, wait)
	}
	if lastRelay != relay.Address {
		return nil, broker.Knowledge{}, s.relistError(errors.Errorf("the relay is now %s", relay.Address))
	}
	timeout := max(time.Until(knownAt.Add(s.relays.maxAge(relay))), minRequestTime)
	query := fmt.Sprintf("seen=%s&age=%s&wait=%s", position, time.Since(knownAt), min(wait, timeout-answerTime))
	answer, known, err := s.requestChanges(ctx, relay, query, timeout)
	if err != nil {
		if s.relays.Direct() {
			if time.Since(knownAt) < reconnectAge && s.relays.retryRestarting() {
				waiter.Wait(ctx, reconnectInterval)
				return nil, broker.Knowledge{Position: after, At: knownAt}, nil
			}
			return nil, broker.Knowledge{}, err
		}
		return nil, broker.Knowledge{}, s.relistError(err) // the next relay need not be waited for
	}
	if answer.Full {
		return nil, broker.Knowledge{}, s.relistError(errors.New("the relay no longer has the changes"))
	}
	return answer.Changes, known, nil
}

// relistError returns an error with ErrRelist.
func (s *Source[T]) relistError(cause error) error {
	return &Error{Op: "watch " + s.name, Kind: KindRefused, Err: errors.Wrap(broker.ErrRelist, cause.Error())}
}

// Poll polls the store while this host follows it. Otherwise it only waits, because the relay polls the store itself.
func (s *Source[T]) Poll(ctx context.Context, after broker.Position, wait time.Duration) (bool, time.Time, error) {
	if s.relays.Direct() || s.watchesStore.Load() {
		return s.direct.Poll(ctx, after, wait)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return false, time.Time{}, nil
}

// hasTime reports whether there is time to ask a far relay: this host has no copy, or not an old one.
func (s *Source[T]) hasTime() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.answered || time.Since(s.knownAt) < reconnectAge
}

// requestChanges requests the changes since the position in the query from a relay, or all items without one.
func (s *Source[T]) requestChanges(
	ctx context.Context, relay Candidate, query string, timeout time.Duration,
) (reply[T], broker.Knowledge, error) {
	if relay.Far {
		query += "&far=1"
	}
	answer, known, err := s.request(ctx, relay.Address, query, timeout)
	if err == nil && time.Since(known.At) >= s.relays.maxAge(relay) {
		err = &Error{Op: "read from " + relay.Address.String(), Kind: KindRefused, Err: errors.New("what the relay knows is too old")}
	}
	if err != nil {
		s.relays.fail(relay.Address, time.Now(), failureOf(err))
		return answer, known, err
	}
	s.mu.Lock()
	s.answered, s.lastRelay, s.position, s.knownAt = true, relay.Address, answer.Position, known.At
	s.mu.Unlock()
	return answer, known, nil
}

// request sends one request for the collection to a host. What the host knows counts from the sending of the request,
// which was not after its arrival.
func (s *Source[T]) request(
	ctx context.Context, relay netip.AddrPort, query string, timeout time.Duration,
) (reply[T], broker.Knowledge, error) {
	var answer reply[T]
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if s.relays.passesOn() {
		query += "&passes=1"
	}
	sent := time.Now()
	if err := s.relays.Get(ctx, relay, Path(s.name)+"?"+query, &answer); err != nil {
		return answer, broker.Knowledge{}, err
	}
	return answer, broker.Knowledge{
		Position: broker.Position{Era: answer.Era, Revision: answer.Revision}, At: sent.Add(answer.KnownFor),
	}, nil
}
