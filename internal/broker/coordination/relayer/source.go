package relayer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/requester"
)

const (
	// retryDelay is how long a relay is not used after a failure.
	retryDelay = 5 * time.Second
	// requestSlack is how much longer than its wait a request may take. Requests for changes may not take longer than
	// maxAge after the time up to which the last answer has all of them, but at least minRequestTime.
	requestSlack   = 600 * time.Millisecond
	minRequestTime = 300 * time.Millisecond
	// At most maxFallbacks hosts are asked for their last state, each with fallbackTimeout.
	maxFallbacks    = 3
	fallbackTimeout = 300 * time.Millisecond
	// maxIdleConnections allows one connection to a host for each collection.
	maxIdleConnections = 8
	// maxReplyBytes is the maximum size of the body of an answer, and maxHeaderBytes that of its header.
	maxReplyBytes  = 16 << 20
	maxHeaderBytes = 64 << 10
)

// Relays selects the hosts that collections are read from instead of the store, and sends requests to hosts.
type Relays struct {
	client *http.Client

	mu         sync.Mutex
	candidates []netip.AddrPort // in order of preference; empty if this host follows the store
	fallbacks  []netip.AddrPort // asked for their last state if the store cannot be read
	retryAt    map[netip.AddrPort]time.Time
}

// NewRelays returns relays without candidates.
func NewRelays() *Relays {
	options := requester.Options{MaxIdleConnections: maxIdleConnections, MaxHeaderBytes: maxHeaderBytes}
	return &Relays{retryAt: map[netip.AddrPort]time.Time{}, client: requester.New(options)}
}

// Set sets the hosts that may be used as relays, in order of preference.
func (r *Relays) Set(candidates []netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.candidates = candidates
}

// SetFallbacks sets the hosts that are asked for their last state if this host starts while it cannot read the store.
func (r *Relays) SetFallbacks(fallbacks []netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fallbacks = fallbacks
}

// Direct reports whether this host follows the store instead of a relay.
func (r *Relays) Direct() bool {
	_, ok := r.pick(time.Now())
	return !ok
}

func (r *Relays) pick(now time.Time) (netip.AddrPort, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, candidate := range r.candidates {
		if now.After(r.retryAt[candidate]) {
			return candidate, true
		}
	}
	return netip.AddrPort{}, false
}

// Post sends a message as JSON to a path of another host.
func (r *Relays) Post(ctx context.Context, to netip.AddrPort, path string, message any) error {
	op := "post to " + to.String()
	body, err := json.Marshal(message)
	if err != nil {
		return &Error{Op: op, Kind: KindMalformed, Err: errors.WithStack(err)}
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.String()+path, bytes.NewReader(body))
	if err != nil {
		return &Error{Op: op, Kind: KindMalformed, Err: errors.WithStack(err)}
	}
	request.Header.Set("Content-Type", "application/json")
	_, err = r.exchange(op, request)
	return err
}

// Get reads a JSON document from a path of another host into reply.
func (r *Relays) Get(ctx context.Context, from netip.AddrPort, path string, reply any) error {
	op := "read from " + from.String()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+from.String()+path, nil)
	if err != nil {
		return &Error{Op: op, Kind: KindMalformed, Err: errors.WithStack(err)}
	}
	data, err := r.exchange(op, request)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, reply); err != nil {
		return &Error{Op: op, Kind: KindMalformed, Err: errors.WithStack(err)}
	}
	return nil
}

// exchange sends a request to another host and returns the body of the answer.
func (r *Relays) exchange(op string, request *http.Request) ([]byte, error) {
	response, err := r.client.Do(request)
	if err != nil {
		return nil, &Error{Op: op, Kind: KindUnreachable, Err: errors.WithStack(err)}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil || response.StatusCode/100 != 2 {
		return nil, &Error{Op: op, Kind: KindRefused, Err: errors.Errorf("%s: %s: %v",
			response.Status, strings.TrimSpace(string(data[:min(len(data), 100)])), err)}
	}
	return data, nil
}

func (r *Relays) fail(relay netip.AddrPort, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retryAt[relay] = now.Add(retryDelay)
}

// Source reads a collection from a relay, or from the store while no relay answers.
type Source[T any] struct {
	name   string
	direct broker.Source[T]
	relays *Relays
	// watchesStore reports whether a watch of the store is in progress, which may outlast the retry delay of a relay.
	watchesStore atomic.Bool

	mu        sync.Mutex
	lastRelay netip.AddrPort // relay that gave the last answer
	position  string         // position in the change log of lastRelay
	knownAt   time.Time      // time up to which the last answer of lastRelay has every change
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
	for relay, ok := s.relays.pick(time.Now()); ok && ctx.Err() == nil; relay, ok = s.relays.pick(time.Now()) {
		answer, known, err := s.requestChanges(ctx, relay, "", requestSlack)
		if err != nil {
			continue
		}
		if answer.Full && accept(answer.Items, known) {
			return answer.Items, known, nil
		}
		s.relays.fail(relay, time.Now())
	}
	items, known, err := s.direct.List(ctx, accept)
	if err != nil {
		if answer, known, ok := s.requestFallbacks(ctx, accept); ok {
			return answer.Items, known, nil
		}
	}
	return items, known, err
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
		answer, known, err := s.request(context.WithoutCancel(ctx), fallback, "old=1", fallbackTimeout)
		if err == nil && answer.Full && accept(answer.Items, known) {
			return answer, known, true
		}
	}
	return reply[T]{}, broker.Knowledge{}, false
}

// Watch returns the changes after a revision, or an error with ErrRelist after a change of relays.
func (s *Source[T]) Watch(
	ctx context.Context, after uint64, wait time.Duration,
) ([]broker.Change[T], broker.Knowledge, error) {
	relay, ok := s.relays.pick(time.Now())
	if !ok {
		s.watchesStore.Store(true)
		defer s.watchesStore.Store(false)
		return s.direct.Watch(ctx, after, wait)
	}
	s.mu.Lock()
	lastRelay, position, knownAt := s.lastRelay, s.position, s.knownAt
	s.mu.Unlock()
	if lastRelay != relay {
		return nil, broker.Knowledge{}, s.relistError(errors.Errorf("the relay is now %s", relay))
	}
	timeout := max(time.Until(knownAt.Add(maxAge)), minRequestTime)
	query := fmt.Sprintf("seen=%s&age=%s&wait=%s", position, time.Since(knownAt), min(wait, timeout))
	answer, known, err := s.requestChanges(ctx, relay, query, timeout)
	if err != nil {
		if s.relays.Direct() {
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
func (s *Source[T]) Poll(ctx context.Context, after uint64, wait time.Duration) (bool, time.Time, error) {
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

// requestChanges requests the changes since the position in the query from a relay, or all items without one.
func (s *Source[T]) requestChanges(
	ctx context.Context, relay netip.AddrPort, query string, timeout time.Duration,
) (reply[T], broker.Knowledge, error) {
	answer, known, err := s.request(ctx, relay, query, timeout)
	if err == nil && time.Since(known.At) >= maxAge {
		err = &Error{Op: "read from " + relay.String(), Kind: KindRefused, Err: errors.New("what the relay knows is too old")}
	}
	if err != nil {
		s.relays.fail(relay, time.Now())
		return answer, known, err
	}
	s.mu.Lock()
	s.lastRelay, s.position, s.knownAt = relay, answer.Position, known.At
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
	sent := time.Now()
	if err := s.relays.Get(ctx, relay, Path(s.name)+"?"+query, &answer); err != nil {
		return answer, broker.Knowledge{}, err
	}
	return answer, broker.Knowledge{Revision: answer.Revision, At: sent.Add(answer.KnownFor)}, nil
}
