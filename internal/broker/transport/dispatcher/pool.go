package dispatcher

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccarock/yuccarock/internal/broker"
)

const (
	// dialTimeout is the timeout of a dial. Hosts of a site are only a few milliseconds apart.
	dialTimeout = time.Second
	// closeTimeout is the maximum wait for the server's FIN. A server that takes longer still has the connection open,
	// so its number of connections can exceed the limit.
	closeTimeout = 250 * time.Millisecond
	// redialDelay is the time after a failed dial during which no idle connections are opened.
	redialDelay = time.Second
)

// dialFunc opens a TCP connection.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// pool holds the connections to one backend server.
type pool struct {
	dial     dialFunc
	counters *counters
	sockets  *sockets

	mu           sync.Mutex
	address      netip.AddrPort
	limit        int // maximum of total
	total        int // connections being dialed, open or being closed
	shared       int // those of total that count as shared sockets
	minIdle      int // idle connections to keep open; with zero, connections are not reused
	openingIdle  int // idle connections being dialed
	idle         []*conn
	waiters      []chan struct{}
	redialAt     time.Time // no idle connections are opened before this time
	silentInARow int       // silent exchanges since the last successful one on a reused connection

	unreachable atomic.Bool  // a dial has failed since the last answer
	outages     atomic.Int64 // times that the server has answered again after a failed dial
}

// permission decides whether a request may be sent. Its zero value allows every request.
type permission struct {
	permit func() bool // asked before the first byte; nil allows the request
	// changed returns a channel that is closed when permit may return another value. With nil, permit is not asked while the
	// request waits for a connection.
	changed func() <-chan struct{}
}

func (p permission) granted() bool { return p.permit == nil || p.permit() }

// withdrawn returns an error if the request may not wait for a connection any longer.
func (p permission) withdrawn() error {
	if p.changed == nil || p.granted() {
		return nil
	}
	return &Error{Op: "acquire connection", Kind: KindWithheld, Err: errNotPermitted}
}

// nextChange returns a channel that is closed at the next change, nil if there is none.
func (p permission) nextChange() <-chan struct{} {
	if p.changed == nil {
		return nil
	}
	return p.changed()
}

// acquire returns a connection for exclusive use and waits for one while the limit is reached and the request may be sent.
// With fresh set, it opens a new connection.
func (p *pool) acquire(ctx context.Context, fresh bool, allowed permission) (*conn, error) {
	for {
		changed := allowed.nextChange()
		if err := allowed.withdrawn(); err != nil {
			return nil, err
		}
		p.mu.Lock()
		if c := p.takeIdle(fresh); c != nil {
			p.mu.Unlock()
			if c.reusable() {
				return c, nil
			}
			p.discard(c)
			continue
		}
		if p.addConnection() {
			address := p.address
			p.mu.Unlock()
			return p.openWithContext(ctx, address)
		}
		if len(p.idle) > 0 {
			p.discard(p.popIdle())
		}
		available := make(chan struct{}, 1)
		p.waiters = append(p.waiters, available)
		p.mu.Unlock()
		if err := await(ctx, available, changed, allowed); err != nil {
			p.removeWaiter(available)
			return nil, err
		}
	}
}

// await returns once a connection may be available, or with an error if the context is done or the request may no longer be
// sent.
func await(ctx context.Context, available, changed <-chan struct{}, allowed permission) error {
	for {
		select {
		case <-available:
			return nil
		case <-changed:
			changed = allowed.nextChange()
			if err := allowed.withdrawn(); err != nil {
				return err
			}
		case <-ctx.Done():
			return &Error{Op: "acquire connection", Kind: KindConnectionLimit, Err: context.Cause(ctx)}
		}
	}
}

// addConnection adds a connection to total if the limits allow it; the caller holds mu.
func (p *pool) addConnection() bool {
	if p.total >= p.limit {
		return false
	}
	allowed, shared := p.sockets.take(p.total - p.shared)
	if !allowed {
		return false
	}
	p.total++
	if shared {
		p.shared++
	}
	return true
}

// takeIdle removes and returns the most recently used idle connection, and opens a new idle connection in its place.
func (p *pool) takeIdle(fresh bool) *conn {
	if fresh || len(p.idle) == 0 {
		return nil
	}
	c := p.popIdle()
	p.fillIdle()
	return c
}

func (p *pool) popIdle() *conn {
	last := len(p.idle) - 1
	c := p.idle[last]
	p.idle[last] = nil
	p.idle = p.idle[:last]
	return c
}

type dialResult struct {
	conn *conn
	err  error
}

// openWithContext dials a connection that total already includes. When ctx is done, the dial continues in the
// background and the new connection becomes idle: the server may already have accepted it, so abandoning it would not
// reduce the server's number of connections.
func (p *pool) openWithContext(ctx context.Context, address netip.AddrPort) (*conn, error) {
	results := make(chan dialResult, 1)
	go func() {
		c, err := p.open(address)
		results <- dialResult{c, err}
	}()
	select {
	case result := <-results:
		return result.conn, result.err
	case <-ctx.Done():
		go func() {
			if result := <-results; result.err == nil {
				p.release(result.conn)
			}
		}()
		return nil, &Error{Op: "open connection", Kind: KindInterrupted, Err: context.Cause(ctx)}
	}
}

// open dials a connection that total already includes.
func (p *pool) open(address netip.AddrPort) (*conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	socket, err := p.dial(ctx, "tcp", address.String())
	if err != nil {
		p.mu.Lock()
		p.redialAt = time.Now().Add(redialDelay)
		p.mu.Unlock()
		p.unreachable.Store(true)
		p.connClosed()
		p.counters.dialsFailed.Inc()
		return nil, &Error{Op: "open connection", Kind: KindUnreachable,
			Err: errors.Wrap(broker.ErrUnreachable, err.Error())}
	}
	p.counters.opened.Inc()
	return newConn(socket), nil
}

// recordAnswer ends an outage of the server. A connection that it accepts does not: a process that has just crashed, or
// something before it, may accept some connections and refuse others.
func (p *pool) recordAnswer() {
	if p.unreachable.Load() && p.unreachable.CompareAndSwap(true, false) {
		p.outages.Add(1)
	}
}

// release makes a connection idle, or discards it if none are to be kept or the limit is exceeded.
func (p *pool) release(c *conn) {
	p.mu.Lock()
	if c.reused {
		p.silentInARow = 0
	}
	if p.total > p.limit || p.minIdle == 0 {
		p.mu.Unlock()
		p.discard(c)
		return
	}
	c.reused, c.idleSince = true, time.Now()
	p.idle = append(p.idle, c)
	p.wakeWaiter()
	p.mu.Unlock()
}

// discard closes a connection in the background. It counts towards the limit until the returned channel is closed.
func (p *pool) discard(c *conn) <-chan struct{} {
	p.counters.closed.Inc()
	done := make(chan struct{})
	go func() {
		c.closeGracefully(closeTimeout)
		p.connClosed()
		close(done)
	}()
	return done
}

// connClosed removes a closed connection from total.
func (p *pool) connClosed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.total--
	if p.shared > 0 {
		p.shared--
		p.sockets.giveBack()
	}
	if !p.wakeWaiter() {
		p.fillIdle()
	}
}

// wakeWaiter wakes the request that has waited longest, which then tries again, and reports whether there was one.
func (p *pool) wakeWaiter() bool {
	if len(p.waiters) == 0 {
		return false
	}
	p.waiters[0] <- struct{}{}
	p.waiters = p.waiters[1:]
	return true
}

// removeWaiter removes a waiter. If the waiter was woken concurrently, the next one is woken in its place.
func (p *pool) removeWaiter(available chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, waiter := range p.waiters {
		if waiter == available {
			p.waiters = append(p.waiters[:i:i], p.waiters[i+1:]...)
			return
		}
	}
	p.wakeWaiter()
}

// fillIdle opens connections until minIdle are idle, unless requests wait or a dial has failed recently.
func (p *pool) fillIdle() {
	if len(p.waiters) > 0 || time.Now().Before(p.redialAt) {
		return
	}
	for len(p.idle)+p.openingIdle < p.minIdle && p.addConnection() {
		p.openingIdle++
		go p.openIdle(p.address)
	}
}

func (p *pool) openIdle(address netip.AddrPort) {
	c, err := p.open(address)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openingIdle--
	switch {
	case err != nil: // reported by the next request or probe
	case p.address != address || p.minIdle == 0 || p.total > p.limit:
		p.discard(c)
	default:
		// The new connection is used last, because connections that have carried requests are known to work.
		c.reused = true
		p.idle = append([]*conn{c}, p.idle...)
		p.wakeWaiter()
	}
}

// configure sets the address and the limit, and closes idle connections to another address or above the limit.
func (p *pool) configure(address netip.AddrPort, limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.address != address {
		p.address = address
		p.redialAt = time.Time{}
		p.closeIdle(len(p.idle))
	}
	p.limit = max(limit, 1)
	p.minIdle = min(p.minIdle, p.limit)
	p.closeIdle(min(p.total-p.limit, len(p.idle)))
}

// retain sets the number of idle connections to keep open; zero closes all idle ones.
func (p *pool) retain(minIdle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.minIdle = min(minIdle, p.limit)
	if p.minIdle == 0 {
		p.closeIdle(len(p.idle))
	}
	p.fillIdle()
}

// recordSilent counts an exchange without an answer. A device between the hosts that drops its connection state
// affects all connections at once, so the second silent exchange in a row closes the idle ones. A single one may just
// be a slow request.
func (p *pool) recordSilent() {
	p.counters.silent.Inc()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.silentInARow++; p.silentInARow >= 2 {
		p.silentInARow = 0
		p.closeIdle(len(p.idle))
	}
}

// closeIdle closes count idle connections, the least recently used first.
func (p *pool) closeIdle(count int) {
	if count <= 0 {
		return
	}
	for _, c := range p.idle[:count] {
		p.discard(c)
	}
	p.idle = append([]*conn(nil), p.idle[count:]...)
}

// connections returns the number of connections that are being dialed, open or being closed.
func (p *pool) connections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.total
}
