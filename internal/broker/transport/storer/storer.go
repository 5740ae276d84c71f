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

// MaxValue is the maximum size of the value of an object in bytes.
const MaxValue = 1 << 20

// Defaults of Options.
const (
	// DefaultCallTimeout is far above the few milliseconds that a call takes, and below the 2 s after which a member
	// that waits for its own call may be excluded.
	DefaultCallTimeout = time.Second
	// DefaultWatchWait is the maximum duration of one long poll.
	DefaultWatchWait = 25 * time.Second
	// DefaultAttempts is the maximum number of attempts of one call.
	DefaultAttempts = 4
	// DefaultMinBackoff and DefaultMaxBackoff are the initial and the maximum delay between two attempts.
	DefaultMinBackoff = 25 * time.Millisecond
	DefaultMaxBackoff = 2 * time.Second
	// DefaultRate (calls per second) and DefaultBurst (calls) limit the calls of one process. At the planned size, two
	// watching processes in each of 99 cells make at most 990 calls per second, half of the reads that the store
	// sustains.
	DefaultRate  = 5.0
	DefaultBurst = 20
)

// Options are the settings of a Storer. A field with the zero value takes its default.
type Options struct {
	CallTimeout time.Duration // of one attempt
	WatchWait   time.Duration // maximum duration of one long poll
	Attempts    int           // maximum attempts of one call
	MinBackoff  time.Duration // initial delay between two attempts
	MaxBackoff  time.Duration // maximum delay between two attempts
	Rate        float64       // calls per second
	Burst       int           // calls
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
	limiter *tokenBucket
	set     *metrics.Set
}

// New returns a client of the store at base. Its metrics are registered in set.
func New(
	base *url.URL, transport http.RoundTripper, clock broker.Clock, set *metrics.Set, options Options,
) *Storer {
	options = options.withDefaults()
	return &Storer{
		base:    base,
		client:  &http.Client{Transport: transport},
		options: options,
		limiter: newTokenBucket(clock, options.Rate, options.Burst),
		set:     set,
	}
}

// Get returns the object stored at key, or an object with version zero if there is none.
func (s *Storer) Get(ctx context.Context, key string) (broker.Object, error) {
	return s.read(ctx, call{op: "get an object", kind: "get", key: key})
}

// GetNewer returns the object stored at key if its version differs from version, and otherwise an object with version
// zero. The store sends the value only in the first case.
func (s *Storer) GetNewer(ctx context.Context, key string, version uint64) (broker.Object, error) {
	get := call{op: "get a newer object", kind: "get", key: key, conditional: true}
	get.header = http.Header{"If-None-Match": {entityTag(version)}}
	return s.read(ctx, get)
}

// GetVersion returns the object stored at key with the given version, or an object with version zero if there is none.
func (s *Storer) GetVersion(ctx context.Context, key string, version uint64) (broker.Object, error) {
	query := url.Values{"version": {strconv.FormatUint(version, 10)}}
	return s.read(ctx, call{op: "get a past object", kind: "get", key: key, query: query})
}

// Put writes value if the stored version equals version (zero for no object), and returns the new version. It repeats
// the write only if the store did not process it.
func (s *Storer) Put(ctx context.Context, key string, value []byte, version uint64) (uint64, error) {
	const op = "put an object"
	if len(value) > MaxValue {
		return 0, newError(op, KindTooLarge, fmt.Sprintf("the value has %d bytes", len(value)))
	}
	header := http.Header{"If-None-Match": {"*"}}
	if version > 0 {
		header = http.Header{"If-Match": {entityTag(version)}}
	}
	got, err := s.callWithRetries(ctx, call{
		op: op, kind: "put", method: http.MethodPut, key: key, header: header, body: value,
	})
	return got.version, err
}

// Watch returns the object stored at key once its version is higher than version, or an error when ctx is done.
func (s *Storer) Watch(ctx context.Context, key string, version uint64) (broker.Object, error) {
	query := url.Values{
		"watch": {strconv.FormatUint(version, 10)},
		"wait":  {s.options.WatchWait.String()},
	}
	watch := call{op: "watch an object", kind: "watch", key: key, query: query, wait: s.options.WatchWait}
	for {
		object, err := s.read(ctx, watch)
		// The store may repeat an event, so the version is checked as well as the status.
		if err != nil || object.Version > version {
			return object, err
		}
	}
}

// Hosts returns the platform's list of live and leaving hosts. The list may be out of date.
func (s *Storer) Hosts(ctx context.Context) ([]broker.Host, error) {
	var hosts []broker.Host
	err := s.readJSON(ctx, call{op: "list the hosts", kind: "hosts", path: "v1/hosts"}, &hosts)
	return hosts, err
}

// Version is an entry in the history of an object.
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
	got, err := s.callWithRetries(ctx, c)
	if err != nil {
		return broker.Object{}, err
	}
	return broker.Object{Key: c.key, Version: got.version, Value: got.body}, nil
}

func (s *Storer) readJSON(ctx context.Context, c call, value any) error {
	c.method, c.unversioned = http.MethodGet, true
	got, err := s.callWithRetries(ctx, c)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(got.body, value); err != nil {
		return wrap(c.op, KindInvalid, err)
	}
	return nil
}

// callWithRetries makes a call and repeats it after KindUnavailable, within the attempts and the rate limit.
func (s *Storer) callWithRetries(ctx context.Context, c call) (answer, error) {
	policy := &backoff.ExponentialBackOff{
		InitialInterval:     s.options.MinBackoff,
		MaxInterval:         s.options.MaxBackoff,
		Multiplier:          backoff.DefaultMultiplier,
		RandomizationFactor: backoff.DefaultRandomizationFactor,
	}
	if err := c.validate(); err != nil {
		return answer{}, err
	}
	delay, ok := s.limiter.reserve(timeUntilDeadline(ctx))
	if !ok || !waiter.Wait(ctx, delay) {
		return answer{}, newError(c.op, KindUnavailable, "the rate limit allows no call before the deadline")
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
		if _, ok := s.limiter.reserve(0); !ok {
			s.count("refused_retries", c.kind, KindUnavailable)
			return answer{}, err
		}
	}
}

func (s *Storer) count(event, kind string, result ErrorKind) {
	label := string(cmp.Or(result, "ok"))
	s.set.GetOrCreateCounter(fmt.Sprintf("yuccarock_store_%s_total{kind=%q,result=%q}", event, kind, label)).Inc()
}

func timeUntilDeadline(ctx context.Context) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		return time.Until(deadline)
	}
	return time.Hour
}
