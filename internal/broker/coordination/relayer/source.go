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
)

const (
	// badTime is how long a relay that failed is not asked again.
	badTime = 5 * time.Second
	// answerSlack is how much longer than its wait a question may take.
	answerSlack = 600 * time.Millisecond
	// askedReserves hosts are asked for their last state, each for reserveTimeout.
	askedReserves  = 3
	reserveTimeout = 300 * time.Millisecond
	// relayConnections keeps one connection for each collection.
	relayConnections = 8
	relayIdle        = 30 * time.Second
	// maxReply bounds one answer of a relay.
	maxReply = 16 << 20
)

// Relays chooses the hosts that are asked in place of the store.
type Relays struct {
	client *http.Client

	mu         sync.Mutex
	candidates []netip.AddrPort // in order; empty where this host follows the store itself
	reserves   []netip.AddrPort // asked for their last state where the store cannot be read
	bad        map[netip.AddrPort]time.Time
}

// NewRelays returns relays without candidates.
func NewRelays() *Relays {
	return &Relays{bad: map[netip.AddrPort]time.Time{}, client: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: relayConnections, IdleConnTimeout: relayIdle, DisableCompression: true,
	}}}
}

// Set takes the hosts that may be asked, in order of preference.
func (r *Relays) Set(candidates []netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.candidates = candidates
}

// SetReserves takes the hosts that are asked for their last state by one that starts while it cannot read the store.
func (r *Relays) SetReserves(reserves []netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reserves = reserves
}

// Direct returns whether this host follows the store itself now.
func (r *Relays) Direct() bool {
	_, ok := r.pick(time.Now())
	return !ok
}

func (r *Relays) pick(now time.Time) (netip.AddrPort, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, candidate := range r.candidates {
		if now.After(r.bad[candidate]) {
			return candidate, true
		}
	}
	return netip.AddrPort{}, false
}

// Tell sends a message to another host.
func (r *Relays) Tell(ctx context.Context, to netip.AddrPort, path string, message any) error {
	op := "tell " + to.String()
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

// exchange sends a request to another host and returns the body of its answer.
func (r *Relays) exchange(op string, request *http.Request) ([]byte, error) {
	response, err := r.client.Do(request)
	if err != nil {
		return nil, &Error{Op: op, Kind: KindUnreachable, Err: errors.WithStack(err)}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxReply))
	if err != nil || response.StatusCode/100 != 2 {
		return nil, &Error{Op: op, Kind: KindRefused, Err: errors.Errorf("%s: %s: %v",
			response.Status, strings.TrimSpace(string(data[:min(len(data), 100)])), err)}
	}
	return data, nil
}

func (r *Relays) fail(relay netip.AddrPort, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bad[relay] = now.Add(badTime)
}

// Source asks a relay for a collection, and the store while there is no relay that answers.
type Source[T any] struct {
	name   string
	direct broker.Source[T]
	relays *Relays
	// watchesStore is whether a watch of the store is in progress; it goes on after a relay may be asked again.
	watchesStore atomic.Bool

	mu   sync.Mutex
	from netip.AddrPort // relay of the last answer
	seen string         // what that answer told, for the next question
	at   uint64         // highest revision of all answers
}

// NewSource returns a source of the collection that relays offer under name.
func NewSource[T any](name string, direct broker.Source[T], relays *Relays) *Source[T] {
	return &Source[T]{name: name, direct: direct, relays: relays}
}

// Path returns the path of a collection's feed.
func Path(name string) string { return "/feeds/" + name }

// List returns all items.
func (s *Source[T]) List(ctx context.Context) ([]broker.Item[T], uint64, error) {
	if relay, ok := s.relays.pick(time.Now()); ok {
		answer, err := s.ask(ctx, relay, "", 0)
		if err == nil && answer.Whole {
			return answer.Items, s.advance(answer.At), nil
		}
	}
	items, at, err := s.direct.List(ctx)
	if err != nil {
		if answer, ok := s.askReserves(ctx); ok {
			return answer.Items, s.advance(answer.At), nil
		}
	}
	return items, s.advance(at), err
}

// askReserves returns the last state of another host.
func (s *Source[T]) askReserves(ctx context.Context) (reply[T], bool) {
	s.relays.mu.Lock()
	reserves := slices.Clone(s.relays.reserves)
	s.relays.mu.Unlock()
	rand.Shuffle(len(reserves), func(i, k int) { reserves[i], reserves[k] = reserves[k], reserves[i] })
	for _, reserve := range reserves[:min(len(reserves), askedReserves)] {
		// The time of the reading has passed where the store is silent.
		answer, err := s.request(context.WithoutCancel(ctx), reserve, "old=1", reserveTimeout)
		if err == nil && answer.Whole {
			return answer, true
		}
	}
	return reply[T]{}, false
}

// advance returns the highest revision of all answers. The revision of a relay is that of the last change that it heard
// of, although it knows that there was none since.
func (s *Source[T]) advance(at uint64) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at = max(s.at, at)
	return s.at
}

// Watch returns the changes after a revision.
func (s *Source[T]) Watch(
	ctx context.Context, after uint64, wait time.Duration,
) ([]broker.Change[T], uint64, error) {
	relay, ok := s.relays.pick(time.Now())
	if !ok {
		s.watchesStore.Store(true)
		changes, at, err := s.direct.Watch(ctx, after, wait)
		s.watchesStore.Store(false)
		s.advance(at)
		return changes, at, err
	}
	s.mu.Lock()
	from, seen := s.from, s.seen
	s.mu.Unlock()
	if from != relay {
		return nil, 0, &Error{Op: "watch " + s.name, Kind: KindRefused, Err: broker.ErrRelist}
	}
	answer, err := s.ask(ctx, relay, seen, min(wait, maxWait))
	if err != nil {
		return nil, 0, err
	}
	if answer.Whole {
		return nil, 0, &Error{Op: "watch " + s.name, Kind: KindRefused, Err: broker.ErrRelist}
	}
	return answer.Changes, s.advance(answer.At), nil
}

// Glance looks at the store where this host follows it itself; a relay looks for the hosts that ask it.
func (s *Source[T]) Glance(ctx context.Context, after uint64, wait time.Duration) (bool, error) {
	if s.relays.Direct() || s.watchesStore.Load() {
		return s.direct.Glance(ctx, after, wait)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return false, nil
}

// ask puts one question to a relay.
func (s *Source[T]) ask(
	ctx context.Context, relay netip.AddrPort, seen string, wait time.Duration,
) (reply[T], error) {
	answer, err := s.request(ctx, relay, fmt.Sprintf("seen=%s&wait=%s", seen, wait), wait+answerSlack)
	if err != nil {
		s.relays.fail(relay, time.Now())
		return answer, err
	}
	s.mu.Lock()
	s.from, s.seen = relay, answer.Seen
	s.mu.Unlock()
	return answer, nil
}

// request puts one question to a host.
func (s *Source[T]) request(
	ctx context.Context, relay netip.AddrPort, query string, timeout time.Duration,
) (reply[T], error) {
	var answer reply[T]
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	op := "ask " + relay.String()
	url := fmt.Sprintf("http://%s%s?%s", relay, Path(s.name), query)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return answer, &Error{Op: op, Kind: KindMalformed, Err: errors.WithStack(err)}
	}
	data, err := s.relays.exchange(op, request)
	if err != nil {
		return answer, err
	}
	if err := json.Unmarshal(data, &answer); err != nil {
		return answer, &Error{Op: op, Kind: KindMalformed, Err: errors.WithStack(err)}
	}
	return answer, nil
}
