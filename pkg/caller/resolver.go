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
	// resolveTimeout bounds one question for entries, so that a silent entry delays the next one little.
	resolveTimeout = 300 * time.Millisecond
	// staleWait is how long a query waits for a refresh of entries whose time to live has passed.
	staleWait     = 300 * time.Millisecond
	minTimeToLive = 100 * time.Millisecond
	maxTimeToLive = time.Minute
	// avoidFailed is how long an entry that lost a connection is used last.
	avoidFailed    = 2 * time.Second
	maxResolveSize = 1 << 20
)

// entry is an entry address with its availability zone, empty where that is unknown.
type entry struct {
	address netip.AddrPort
	zone    string
}

// resolver keeps the current entries.
type resolver struct {
	seeds  []netip.AddrPort
	zone   string
	client *http.Client

	mu         sync.Mutex
	entries    []entry // in the order that the system gave
	revision   uint64
	fetched    time.Time
	timeToLive time.Duration
	offset     time.Duration // the system's clock minus ours
	failed     map[netip.AddrPort]time.Time
	refreshing chan struct{} // closed when the refresh under way ends; nil where there is none
}

func newResolver(seeds []netip.AddrPort, zone string, transport http.RoundTripper) *resolver {
	return &resolver{seeds: seeds, zone: zone, failed: make(map[netip.AddrPort]time.Time),
		client: &http.Client{Transport: transport, Timeout: resolveTimeout}}
}

// ensure refreshes entries in the background after half their time to live, waits a little after all of it, and
// fails only if no entry has ever been resolved.
func (r *resolver) ensure(ctx context.Context) error {
	r.mu.Lock()
	age := time.Since(r.fetched)
	known := len(r.entries) > 0
	if known && age < r.timeToLive/2 {
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
	if known && !expired {
		return nil
	}
	var patience <-chan time.Time
	if known {
		timer := time.NewTimer(staleWait)
		defer timer.Stop()
		patience = timer.C
	}
	select {
	case <-done:
	case <-patience:
	case <-ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.entries) == 0 {
		return errors.Errorf("none of the %d given addresses named the current entries", len(r.seeds))
	}
	return nil
}

// refresh asks the known entries and then the given addresses until one answers.
func (r *resolver) refresh(done chan struct{}) {
	defer func() {
		r.mu.Lock()
		r.refreshing = nil
		r.mu.Unlock()
		close(done)
	}()
	candidates := r.order(nil)
	seeds := slices.Clone(r.seeds)
	rand.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	for _, seed := range seeds {
		if !slices.Contains(candidates, seed) {
			candidates = append(candidates, seed)
		}
	}
	for _, address := range candidates {
		if err := r.ask(address); err == nil {
			return
		}
		r.noteFailure(address)
	}
}

// ask adopts the entries that the entry at address names.
func (r *resolver) ask(address netip.AddrPort) error {
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
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResolveSize)).Decode(&answer); err != nil {
		return err
	}
	timeToLive, err := time.ParseDuration(answer.TimeToLive)
	if err != nil || len(answer.Entries) == 0 {
		return errors.Errorf("%d entries with time to live %q", len(answer.Entries), answer.TimeToLive)
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
		r.offset = answer.Now.Sub(started.Add(finished.Sub(started) / 2))
	}
	return nil
}

// adopt replaces the entries by addresses that a refusing entry named; the next use asks for the full list.
func (r *resolver) adopt(addresses []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var entries []entry
	for _, text := range addresses {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			continue
		}
		at := slices.IndexFunc(r.entries, func(e entry) bool { return e.address == address })
		if at >= 0 {
			entries = append(entries, r.entries[at])
		} else {
			entries = append(entries, entry{address: address})
		}
	}
	if len(entries) > 0 {
		r.entries = entries
		r.fetched = time.Now().Add(-r.timeToLive / 2)
	}
}

// order returns the entries to use next: those not tried, not failed lately and of our own zone first, each
// group in random order so that callers spread.
func (r *resolver) order(tried map[netip.AddrPort]int) []netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	entries := slices.Clone(r.entries)
	rand.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
	now := time.Now()
	rank := func(e entry) int {
		rank := 4 * tried[e.address]
		if at, ok := r.failed[e.address]; ok && now.Sub(at) < avoidFailed {
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

func (r *resolver) noteFailure(address netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for other, at := range r.failed {
		if now.Sub(at) >= avoidFailed {
			delete(r.failed, other)
		}
	}
	r.failed[address] = now
}

func (r *resolver) clockOffset() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.offset
}
