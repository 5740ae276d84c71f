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

// Defaults of the fields of Options.
const (
	DefaultTimeout  = 10 * time.Second
	DefaultAttempts = 6
	DefaultSilence  = time.Second
)

const (
	dialTimeout      = 500 * time.Millisecond
	idleConnTimeout  = 30 * time.Second
	idleConnsPerHost = 64
	// backoffBase and maxBackoff limit the random delay before a refused query is sent again. Six attempts take 0.6 s
	// on average; in a trial, shards had no known owner for up to 0.35 s after a node had joined.
	backoffBase = 25 * time.Millisecond
	maxBackoff  = 500 * time.Millisecond
	// resendShare is the number of resend tokens that each query adds, up to maxResendTokens. A resend because of
	// overload or silence takes one, so that callers do not multiply the load of a system that refuses work.
	resendShare     = 0.1
	maxResendTokens = 10
)

// Options configures a client; the zero value selects the defaults.
type Options struct {
	// Zone is the caller's availability zone, whose entries are preferred; empty for no preference.
	Zone string
	// Timeout limits a query that sets no timeout of its own, resends included.
	Timeout time.Duration
	// Attempts is the maximum number of times that a query is sent.
	Attempts int
	// Silence is the time without the first byte of an answer after which a query is also sent to another entry, on a
	// new connection; it is at most half the remaining time of the query.
	Silence time.Duration
}

// Client sends queries to the entries of the system; it is safe for concurrent use.
type Client struct {
	options Options
	seeds   []netip.AddrPort
	pooled  *http.Transport
	// unpooled opens a connection for each request, so that a resend does not use another silent connection.
	unpooled *http.Transport
	resolver *resolver

	mu           sync.Mutex
	resendTokens float64 // resends permitted because of overload or silence
}

// New returns a client that obtains the current entries from one of the addresses at its first query.
func New(addresses []netip.AddrPort, options Options) (*Client, error) {
	if len(addresses) == 0 {
		return nil, &Error{Op: "make client", Kind: KindInvalid, Err: errors.New("the list of entry addresses is empty")}
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
			IdleConnTimeout: idleConnTimeout, DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes},
		unpooled: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true,
			MaxResponseHeaderBytes: maxHeaderBytes},
		resendTokens: maxResendTokens,
	}
	c.resolver = newResolver(addresses, options.Zone, c.unpooled)
	return c, nil
}

// Close closes idle connections; queries in flight continue.
func (c *Client) Close() { c.pooled.CloseIdleConnections() }

// Query sends a query and returns its answer, whatever the status, or an *Error if no entry answered or the query is
// malformed. The answer has StatusNotRun only if no attempt can have run.
func (c *Client) Query(ctx context.Context, query Query) (Answer, error) {
	timeout := query.Timeout
	if timeout <= 0 {
		timeout = c.options.Timeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := c.resolver.ensureEntries(ctx); err != nil {
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
	c.resendTokens = min(c.resendTokens+resendShare, maxResendTokens)
	c.mu.Unlock()
	r, err := newRun(c, query)
	if err != nil {
		return Answer{}, &Error{Op: "send query", Kind: KindInvalid, Err: err}
	}
	return r.execute(ctx)
}

// newRequestID returns a UUIDv7 in the time of the system's clock, because claim points compare it with their clocks.
func (c *Client) newRequestID() (string, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return "", errors.Wrap(err, "could not create a request ID")
	}
	milliseconds := time.Now().Add(c.resolver.clockOffset()).UnixMilli()
	for i := range 6 {
		id[i] = byte(milliseconds >> (40 - 8*i))
	}
	return id.String(), nil
}

func (c *Client) takeResendToken() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.resendTokens < 1 {
		return false
	}
	c.resendTokens--
	return true
}

// backoff returns a random delay whose mean doubles with each attempt up to a limit.
func backoff(attempt int) time.Duration {
	maxDelay := min(backoffBase<<min(attempt, 8), maxBackoff)
	return rand.N(maxDelay) + time.Millisecond
}
