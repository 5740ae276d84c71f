package caller

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// resolveTimeout limits one request for the list of entries, so that a silent entry delays the request to the next
	// one only briefly.
	resolveTimeout = 300 * time.Millisecond
	// maxRefreshWait is the maximum time that a query waits for a refresh of expired entries.
	maxRefreshWait = 300 * time.Millisecond
	minTimeToLive  = 100 * time.Millisecond
	maxTimeToLive  = time.Minute
	// failurePenaltyTime is the time for which an entry is ranked behind others after a failed request.
	failurePenaltyTime   = 2 * time.Second
	maxResolveAnswerSize = 1 << 20 // bytes
)

// entry is the address of an entry and its availability zone, which is empty if unknown.
type entry struct {
	address netip.AddrPort
	zone    string
}

// resolver caches the current entries and refreshes them.
type resolver struct {
	seeds  []netip.AddrPort
	zone   string
	client *http.Client

	mu         sync.Mutex
	entries    []entry // in the order of the system's answer
	revision   uint64
	fetched    time.Time
	timeToLive time.Duration
	clockDelta time.Duration // the system's clock minus the local clock
	failed     map[netip.AddrPort]time.Time
	refreshing chan struct{} // closed when the current refresh ends; nil if there is none
}

func newResolver(seeds []netip.AddrPort, zone string, transport http.RoundTripper) *resolver {
	return &resolver{seeds: seeds, zone: zone, failed: make(map[netip.AddrPort]time.Time),
		client: &http.Client{Transport: transport, Timeout: resolveTimeout}}
}

// ensureEntries starts a refresh of the entries after half their time to live. It waits for the refresh if they have
// expired, for at most maxRefreshWait, or if there are none yet; it fails only if there are still none.
func (r *resolver) ensureEntries(ctx context.Context) error {
	r.mu.Lock()
	age := time.Since(r.fetched)
	hasEntries := len(r.entries) > 0
	if hasEntries && age < r.timeToLive/2 {
		r.mu.Unlock()
		return nil
	}
	done := r.refreshing
	if done == nil {
		done = make(chan struct{})
		r.refreshing = done
		go r.refresh(done)
	}
	expired := age > r.timeToLive
	r.mu.Unlock()
	if hasEntries && !expired {
		return nil
	}
	var waitTimeout <-chan time.Time
	if hasEntries {
		timer := time.NewTimer(maxRefreshWait)
		defer timer.Stop()
		waitTimeout = timer.C
	}
	select {
	case <-done:
	case <-waitTimeout:
	case <-ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.entries) == 0 {
		return errors.Errorf("none of the %d configured addresses returned the current entries", len(r.seeds))
	}
	return nil
}

// refresh requests the list of entries from the known entries, then from the configured addresses, until one succeeds.
func (r *resolver) refresh(done chan struct{}) {
	defer func() {
		r.mu.Lock()
		r.refreshing = nil
		r.mu.Unlock()
		close(done)
	}()
	candidates := r.rankedAddresses(nil)
	seeds := slices.Clone(r.seeds)
	rand.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	for _, seed := range seeds {
		if !slices.Contains(candidates, seed) {
			candidates = append(candidates, seed)
		}
	}
	for _, address := range candidates {
		if err := r.fetch(address); err == nil {
			return
		}
		r.recordFailure(address)
	}
}

// fetch replaces the entries by the list that the entry at address returns.
func (r *resolver) fetch(address netip.AddrPort) error {
	started := time.Now()
	resp, err := r.client.Get("http://" + address.String() + "/v1/entries")
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", resp.StatusCode)
	}
	var answer struct {
		Entries []struct {
			Address netip.AddrPort `json:"address"`
			Zone    string         `json:"zone"`
		} `json:"entries"`
		TimeToLive string    `json:"timeToLive"`
		Revision   uint64    `json:"revision"`
		Now        time.Time `json:"now"`
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResolveAnswerSize)).Decode(&answer); err != nil {
		return err
	}
	timeToLive, err := time.ParseDuration(answer.TimeToLive)
	if err != nil || len(answer.Entries) == 0 {
		return errors.Errorf("unusable answer: %d entries with time to live %q", len(answer.Entries), answer.TimeToLive)
	}
	finished := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if answer.Revision < r.revision && finished.Sub(r.fetched) < r.timeToLive {
		return errors.Errorf("revision %d is older than %d", answer.Revision, r.revision)
	}
	r.entries = r.entries[:0:0]
	for _, e := range answer.Entries {
		r.entries = append(r.entries, entry{address: e.Address, zone: e.Zone})
	}
	r.revision, r.fetched = answer.Revision, finished
	r.timeToLive = min(max(timeToLive, minTimeToLive), maxTimeToLive)
	if !answer.Now.IsZero() {
		r.clockDelta = answer.Now.Sub(started.Add(finished.Sub(started) / 2))
	}
	return nil
}

// replaceEntries replaces the entries by the addresses in an entry's refusal; the next query starts a refresh.
func (r *resolver) replaceEntries(addresses []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var entries []entry
	for _, text := range addresses {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			continue
		}
		index := slices.IndexFunc(r.entries, func(e entry) bool { return e.address == address })
		if index >= 0 {
			entries = append(entries, r.entries[index])
		} else {
			entries = append(entries, entry{address: address})
		}
	}
	if len(entries) > 0 {
		r.entries = entries
		r.fetched = time.Now().Add(-r.timeToLive / 2)
	}
}

// rankedAddresses returns the entries in order of preference: least tried, without a recent failure, in the caller's
// zone. The order of equal entries is random, which spreads the callers.
func (r *resolver) rankedAddresses(attempts map[netip.AddrPort]int) []netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	entries := slices.Clone(r.entries)
	rand.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
	now := time.Now()
	rank := func(e entry) int {
		rank := 4 * attempts[e.address]
		if failedAt, ok := r.failed[e.address]; ok && now.Sub(failedAt) < failurePenaltyTime {
			rank += 2
		}
		if r.zone != "" && e.zone != r.zone {
			rank++
		}
		return rank
	}
	slices.SortStableFunc(entries, func(a, b entry) int { return rank(a) - rank(b) })
	addresses := make([]netip.AddrPort, len(entries))
	for i, e := range entries {
		addresses[i] = e.address
	}
	return addresses
}

func (r *resolver) recordFailure(address netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for other, failedAt := range r.failed {
		if now.Sub(failedAt) >= failurePenaltyTime {
			delete(r.failed, other)
		}
	}
	r.failed[address] = now
}

func (r *resolver) clockOffset() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clockDelta
}
