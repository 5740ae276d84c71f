package caller

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
)

// Defaults of the options.
const (
	DefaultTimeout  = 10 * time.Second
	DefaultAttempts = 6
	DefaultSilence  = time.Second
)

const (
	dialTimeout      = 500 * time.Millisecond
	idleConnTimeout  = 30 * time.Second
	idleConnsPerHost = 64
	// backoffBase and backoffMost bound the random delay before a refused query is sent again. Six attempts last
	// 0.6 s on average: in a trial, a node that joined left shards without a known owner for up to 0.35 s.
	backoffBase = 25 * time.Millisecond
	backoffMost = 500 * time.Millisecond
	// resendShare is the share of queries that may be sent again because of overload or silence, so that callers
	// do not multiply the load of a system that refuses work; resendBurst is the most saved up.
	resendShare = 0.1
	resendBurst = 10
)

// Options alter a client; the zero value is usable.
type Options struct {
	// Zone is the caller's availability zone; its entries are used first.
	Zone string
	// Timeout bounds a query that states no timeout of its own.
	Timeout time.Duration
	// Attempts is the most times that a query is sent.
	Attempts int
	// Silence is how long a query waits for the first byte of its answer before it is sent to another entry as
	// well, on a new connection; half the remaining time if that is less.
	Silence time.Duration
}

// Client sends queries to the entries of the system.
type Client struct {
	options Options
	seeds   []netip.AddrPort
	pooled  *http.Transport
	// fresh opens a connection for each request: a resend must not meet another silent connection.
	fresh    *http.Transport
	resolver *resolver

	mu     sync.Mutex
	tokens float64 // resends that may still be paid for
}

// New returns a client that asks one of the addresses for the current entries when it is first used.
func New(addresses []netip.AddrPort, options Options) (*Client, error) {
	if len(addresses) == 0 {
		return nil, &Error{Op: "make client", Kind: KindInvalid, Err: errors.New("no entry address is given")}
	}
	if options.Timeout <= 0 {
		options.Timeout = DefaultTimeout
	}
	if options.Attempts <= 0 {
		options.Attempts = DefaultAttempts
	}
	if options.Silence <= 0 {
		options.Silence = DefaultSilence
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	c := &Client{
		options: options,
		seeds:   addresses,
		pooled: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: idleConnsPerHost,
			IdleConnTimeout: idleConnTimeout, DisableCompression: true},
		fresh:  &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true},
		tokens: resendBurst,
	}
	c.resolver = newResolver(addresses, options.Zone, c.fresh)
	return c, nil
}

// Close closes idle connections; queries in flight go on.
func (c *Client) Close() { c.pooled.CloseIdleConnections() }

// Query sends a query and returns its answer, whatever its status; an error means that no entry gave one. The
// answer has StatusNotRun only if no attempt may have run.
func (c *Client) Query(ctx context.Context, query Query) (Answer, error) {
	timeout := query.Timeout
	if timeout <= 0 {
		timeout = c.options.Timeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := c.resolver.ensure(ctx); err != nil {
		return Answer{}, &Error{Op: "send query", Kind: KindNotRun, Err: err}
	}
	if query.RequestID == "" {
		id, err := c.newRequestID()
		if err != nil {
			return Answer{}, &Error{Op: "send query", Kind: KindNotRun, Err: err}
		}
		query.RequestID = id
	}
	c.mu.Lock()
	c.tokens = min(c.tokens+resendShare, resendBurst)
	c.mu.Unlock()
	r, err := newRun(c, query)
	if err != nil {
		return Answer{}, &Error{Op: "send query", Kind: KindInvalid, Err: err}
	}
	return r.wait(ctx)
}

// newRequestID returns a UUIDv7 in the system's time, because claims compare its time with theirs.
func (c *Client) newRequestID() (string, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return "", errors.Wrap(err, "could not make a request ID")
	}
	milliseconds := time.Now().Add(c.resolver.clockOffset()).UnixMilli()
	for i := range 6 {
		id[i] = byte(milliseconds >> (40 - 8*i))
	}
	return id.String(), nil
}

func (c *Client) takeToken() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.tokens < 1 {
		return false
	}
	c.tokens--
	return true
}

// backoff returns a random delay whose mean doubles with each attempt.
func backoff(attempt int) time.Duration {
	most := min(backoffBase<<min(attempt, 8), backoffMost)
	return rand.N(most) + time.Millisecond
}
