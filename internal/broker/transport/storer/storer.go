package storer

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cenkalti/backoff/v5"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/waiter"
)

// MaxValue is the largest value of an object in bytes.
const MaxValue = 1 << 20

// Defaults of Options.
const (
	// DefaultCallTimeout is far above the few milliseconds of a call, and below the 2 s after which a member
	// that waits for its own call might be excluded.
	DefaultCallTimeout = time.Second
	// DefaultWatchWait is the wait of one long poll.
	DefaultWatchWait = 25 * time.Second
	// DefaultAttempts bounds the attempts of one call.
	DefaultAttempts = 4
	// DefaultMinBackoff and DefaultMaxBackoff bound the delay between two attempts.
	DefaultMinBackoff = 25 * time.Millisecond
	DefaultMaxBackoff = 2 * time.Second
	// DefaultRate and DefaultBurst bound the calls of one process. Two watching processes in each of 99 cells, the
	// planned size, make at most 990 calls per second, half of the reads that the store sustains.
	DefaultRate  = 5.0
	DefaultBurst = 20
)

// Options are the settings of a storer; a zero field takes its default.
type Options struct {
	CallTimeout time.Duration
	WatchWait   time.Duration
	Attempts    int
	MinBackoff  time.Duration
	MaxBackoff  time.Duration
	Rate        float64 // calls per second
	Burst       int     // calls
}

func (o Options) withDefaults() Options {
	o.CallTimeout = cmp.Or(o.CallTimeout, DefaultCallTimeout)
	o.WatchWait = cmp.Or(o.WatchWait, DefaultWatchWait)
	o.Attempts = cmp.Or(o.Attempts, DefaultAttempts)
	o.MinBackoff = cmp.Or(o.MinBackoff, DefaultMinBackoff)
	o.MaxBackoff = cmp.Or(o.MaxBackoff, DefaultMaxBackoff)
	o.Rate = cmp.Or(o.Rate, DefaultRate)
	o.Burst = cmp.Or(o.Burst, DefaultBurst)
	return o
}

// Storer is a client of the platform's store; it implements broker.Store.
type Storer struct {
	base    *url.URL
	client  *http.Client
	options Options
	budget  *bucket
	set     *metrics.Set
}

// New returns a client of the store at base. Counters are added to set.
func New(
	base *url.URL, transport http.RoundTripper, clock broker.Clock, set *metrics.Set, options Options,
) *Storer {
	options = options.withDefaults()
	return &Storer{
		base:    base,
		client:  &http.Client{Transport: transport},
		options: options,
		budget:  newBucket(clock, options.Rate, options.Burst),
		set:     set,
	}
}

// Get returns the object at key, with version zero where there is none.
func (s *Storer) Get(ctx context.Context, key string) (broker.Object, error) {
	return s.read(ctx, call{op: "get an object", kind: "get", key: key})
}

// GetNewer returns the object at key if its version is not version, and otherwise an object with version zero; the
// value crosses the network only in the first case.
func (s *Storer) GetNewer(ctx context.Context, key string, version uint64) (broker.Object, error) {
	conditional := call{op: "get a newer object", kind: "get", key: key, conditional: true}
	conditional.header = http.Header{"If-None-Match": {tag(version)}}
	return s.read(ctx, conditional)
}

// GetVersion returns the object that had the version, with version zero where there was none.
func (s *Storer) GetVersion(ctx context.Context, key string, version uint64) (broker.Object, error) {
	query := url.Values{"version": {strconv.FormatUint(version, 10)}}
	return s.read(ctx, call{op: "get a past object", kind: "get", key: key, query: query})
}

// Put writes value where the current version is equal to version (zero for none) and returns the new version. It
// repeats the write only where the store did not take it.
func (s *Storer) Put(ctx context.Context, key string, value []byte, version uint64) (uint64, error) {
	const op = "put an object"
	if len(value) > MaxValue {
		return 0, failure(op, KindTooLarge, fmt.Sprintf("the value has %d bytes", len(value)))
	}
	header := http.Header{"If-None-Match": {"*"}}
	if version > 0 {
		header = http.Header{"If-Match": {tag(version)}}
	}
	got, err := s.repeat(ctx, call{
		op: op, kind: "put", method: http.MethodPut, key: key, header: header, body: value,
	})
	return got.Version, err
}

// Watch waits until the version of key is above version, or ctx ends.
func (s *Storer) Watch(ctx context.Context, key string, version uint64) (broker.Object, error) {
	query := url.Values{
		"watch": {strconv.FormatUint(version, 10)},
		"wait":  {s.options.WatchWait.String()},
	}
	watch := call{op: "watch an object", kind: "watch", key: key, query: query, wait: s.options.WatchWait}
	for {
		object, err := s.read(ctx, watch)
		// The store may repeat an event, so that a version is checked and not only the status.
		if err != nil || object.Version > version {
			return object, err
		}
	}
}

// Hosts returns the platform's list of live and leaving hosts, which lags.
func (s *Storer) Hosts(ctx context.Context) ([]broker.Host, error) {
	var hosts []broker.Host
	err := s.readJSON(ctx, call{op: "list the hosts", kind: "hosts", path: "v1/hosts"}, &hosts)
	return hosts, err
}

// Version is one entry of the history of an object.
type Version struct {
	Version uint64    `json:"version"`
	Time    time.Time `json:"time"`
}

// History returns the versions of an object, oldest first.
func (s *Storer) History(ctx context.Context, key string) ([]Version, error) {
	var versions []Version
	query := url.Values{"history": {"1"}}
	err := s.readJSON(ctx, call{op: "get a history", kind: "history", key: key, query: query}, &versions)
	return versions, err
}

func (s *Storer) read(ctx context.Context, c call) (broker.Object, error) {
	c.method = http.MethodGet
	got, err := s.repeat(ctx, c)
	if err != nil {
		return broker.Object{}, err
	}
	return broker.Object{Key: c.key, Version: got.Version, Value: got.body}, nil
}

func (s *Storer) readJSON(ctx context.Context, c call, value any) error {
	c.method, c.untagged = http.MethodGet, true
	got, err := s.repeat(ctx, c)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(got.body, value); err != nil {
		return wrap(c.op, KindInvalid, err)
	}
	return nil
}

// repeat makes attempts as long as the store does not take the call and the budget allows another.
func (s *Storer) repeat(ctx context.Context, c call) (answer, error) {
	policy := &backoff.ExponentialBackOff{
		InitialInterval:     s.options.MinBackoff,
		MaxInterval:         s.options.MaxBackoff,
		Multiplier:          backoff.DefaultMultiplier,
		RandomizationFactor: backoff.DefaultRandomizationFactor,
	}
	if err := c.validate(); err != nil {
		return answer{}, err
	}
	delay, ok := s.budget.reserve(remaining(ctx))
	if !ok || !waiter.Wait(ctx, delay) {
		return answer{}, failure(c.op, KindUnavailable, "the rate budget allows no call before the deadline")
	}
	for attempt := 1; ; attempt++ {
		got, err := s.attempt(ctx, c)
		s.count("calls", c.kind, KindOf(err))
		if err == nil || KindOf(err) != KindUnavailable || attempt == s.options.Attempts {
			return got, err
		}
		if !waiter.Wait(ctx, policy.NextBackOff()) {
			return answer{}, err
		}
		if _, ok := s.budget.reserve(0); !ok {
			s.count("refused_retries", c.kind, KindUnavailable)
			return answer{}, err
		}
	}
}

func (s *Storer) count(what, kind string, result ErrorKind) {
	name := string(cmp.Or(result, "ok"))
	s.set.GetOrCreateCounter(fmt.Sprintf("yuccarock_store_%s_total{kind=%q,result=%q}", what, kind, name)).Inc()
}

func remaining(ctx context.Context) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		return time.Until(deadline)
	}
	return time.Hour
}
