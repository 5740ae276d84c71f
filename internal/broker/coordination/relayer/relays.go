package relayer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccarock/yuccarock/internal/requester"
)

const (
	// retryDelay is how long a relay is not used after a failure.
	retryDelay = 5 * time.Second
	// storeRetryInterval is the minimum time between calls of a store that does not answer, by a host that has relays. In an
	// outage, its relays notice the return of the store earlier.
	storeRetryInterval = 1500 * time.Millisecond
	// maxIdleConnections allows one connection to a host for each collection.
	maxIdleConnections = 8
	// maxReplyBytes is the maximum size of the body of an answer, and maxHeaderBytes that of its header.
	maxReplyBytes  = 16 << 20
	maxHeaderBytes = 64 << 10
)

// Candidate is a host that may be used as a relay.
type Candidate struct {
	Address netip.AddrPort
	// Far reports whether the host is in another zone. Its answers are compressed, and it is not asked by a host whose copy
	// is old, because there may be no time to wait for its answer.
	Far bool
}

// Relays selects the hosts that collections are read from instead of the store, and sends requests to hosts.
type Relays struct {
	client *http.Client

	mu         sync.Mutex
	candidates []Candidate      // in order of preference, near ones first; empty if this host follows the store
	passes     bool             // other hosts use this one as a relay
	fallbacks  []netip.AddrPort // asked for their last state if the store cannot be read
	retryAt    map[netip.AddrPort]time.Time
	failures   map[netip.AddrPort]failure // of relays in retryAt
	storeAt    time.Time                  // the store is not called before this time
}

// NewRelays returns relays without candidates.
func NewRelays() *Relays {
	options := requester.Options{MaxIdleConnections: maxIdleConnections, MaxHeaderBytes: maxHeaderBytes, Compress: true}
	return &Relays{
		retryAt: map[netip.AddrPort]time.Time{}, failures: map[netip.AddrPort]failure{},
		client: requester.New(options),
	}
}

// Set sets the hosts that may be used as relays, in order of preference. Passes reports whether other hosts use this one as
// a relay.
func (r *Relays) Set(candidates []Candidate, passes bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.candidates, r.passes = candidates, passes
}

// SetFallbacks sets the hosts that are asked for their last state if this host starts while it cannot read the store.
func (r *Relays) SetFallbacks(fallbacks []netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fallbacks = fallbacks
}

// Direct reports whether this host follows the store instead of a relay.
func (r *Relays) Direct() bool {
	_, ok := r.pick(time.Now(), netip.AddrPort{}, true)
	return !ok
}

// pick returns the first relay that can be used, far ones only if they are allowed. It prefers the last relay to others
// that are not nearer, because they would have to send the whole collection.
func (r *Relays) pick(now time.Time, last netip.AddrPort, far bool) (Candidate, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var first Candidate
	found := false
	for _, candidate := range r.candidates {
		switch {
		case candidate.Far && !far || !now.After(r.retryAt[candidate.Address]):
		case !found:
			first, found = candidate, true
		case candidate.Address == last && candidate.Far == first.Far:
			first = candidate
		}
	}
	return first, found
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
		kind := KindRefused
		if response.Header.Get(headerRetryAfter) != "" {
			kind = KindStarting
		}
		return nil, &Error{Op: op, Kind: kind, Err: errors.Errorf("%s: %s: %v",
			response.Status, strings.TrimSpace(string(data[:min(len(data), 100)])), err)}
	}
	return data, nil
}

// failure is why a relay cannot be used.
type failure uint8

const (
	failureSilent     failure = iota // it does not answer
	failureRefused                   // it answers, but not with what can be used
	failureRestarting                // its process ended or has just started
)

// fail excludes a relay for retryDelay.
func (r *Relays) fail(relay netip.AddrPort, now time.Time, why failure) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retryAt[relay], r.failures[relay] = now.Add(retryDelay), why
}

// retryRestarting allows the relays again whose processes were restarting, and reports whether there are any.
func (r *Relays) retryRestarting() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	found := false
	for _, candidate := range r.candidates {
		if !r.retryAt[candidate.Address].IsZero() && r.failures[candidate.Address] == failureRestarting {
			delete(r.retryAt, candidate.Address)
			found = true
		}
	}
	return found
}

// mayCallStore reports whether the store may be called: always by a host without relays, and otherwise unless it has just
// failed to answer. Then the relays that answer are allowed again: they may reach the store earlier.
func (r *Relays) mayCallStore(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.candidates) == 0 || !now.Before(r.storeAt) {
		return true
	}
	r.retryAnswering()
	return false
}

// storeFailed records that the store has not answered a host that has relays.
func (r *Relays) storeFailed(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeAt = now.Add(storeRetryInterval)
	r.retryAnswering()
}

// retryAnswering allows the relays again that are not silent; the caller holds mu.
func (r *Relays) retryAnswering() {
	for _, candidate := range r.candidates {
		if r.failures[candidate.Address] != failureSilent {
			delete(r.retryAt, candidate.Address)
		}
	}
}

// any reports whether this host has relays, usable or not.
func (r *Relays) any() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.candidates) > 0
}

// passesOn reports whether other hosts use this one as a relay.
func (r *Relays) passesOn() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.passes
}

// maxAge returns the maximum age of what a relay knows.
func (r *Relays) maxAge(relay Candidate) time.Duration {
	if relay.Far || r.passesOn() {
		return maxPassedAge
	}
	return maxAge
}
