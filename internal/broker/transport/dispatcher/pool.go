package dispatcher

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccarock/yuccarock/internal/broker"
)

const (
	// dialTimeout bounds the opening of a connection; hosts of a site are a few milliseconds apart.
	dialTimeout = time.Second
	// closeLinger bounds the wait for the server's side of a close. A server that takes longer still holds the
	// connection, and the cap can be exceeded by it.
	closeLinger = 250 * time.Millisecond
	// redialPause is how long no connection is opened ahead of need after one could not be opened.
	redialPause = time.Second
)

// dialFunc opens a TCP connection.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// pool holds the connections to one backend server.
type pool struct {
	dial     dialFunc
	counters *counters

	mu       sync.Mutex
	address  netip.AddrPort
	limit    int // most connections in any state
	live     int // connections being dialed, open or being closed
	ready    int // idle connections to hold open ahead of need
	opening  int // connections being opened ahead of need
	idle     []*conn
	waiters  []chan struct{}
	redialAt time.Time
	silent   int // silent exchanges since one on a reused connection went well
}

// acquire returns a connection that no other request uses; fresh asks for one that was not open before.
func (p *pool) acquire(ctx context.Context, fresh bool) (*conn, error) {
	for {
		p.mu.Lock()
		if c := p.take(fresh); c != nil {
			p.mu.Unlock()
			if c.reusable() {
				return c, nil
			}
			p.discard(c)
			continue
		}
		if p.live < p.limit {
			p.live++
			address := p.address
			p.mu.Unlock()
			return p.openFor(ctx, address)
		}
		if len(p.idle) > 0 {
			p.discard(p.pop())
		}
		woken := make(chan struct{}, 1)
		p.waiters = append(p.waiters, woken)
		p.mu.Unlock()
		select {
		case <-woken:
		case <-ctx.Done():
			p.leave(woken)
			return nil, &Error{Op: "acquire connection", Kind: KindConnectionLimit, Err: context.Cause(ctx)}
		}
	}
}

// take removes the most recently used idle connection and opens another one ahead of need.
func (p *pool) take(fresh bool) *conn {
	if fresh || len(p.idle) == 0 {
		return nil
	}
	c := p.pop()
	p.fill()
	return c
}

func (p *pool) pop() *conn {
	last := len(p.idle) - 1
	c := p.idle[last]
	p.idle[last] = nil
	p.idle = p.idle[:last]
	return c
}

// opened is the result of a dial.
type opened struct {
	conn *conn
	err  error
}

// openFor dials a connection that is already counted. A dial goes on when ctx ends, and its connection becomes an idle
// one: the server may have accepted it already, so that giving it up would not take it off the server's count.
func (p *pool) openFor(ctx context.Context, address netip.AddrPort) (*conn, error) {
	results := make(chan opened, 1)
	go func() {
		c, err := p.open(address)
		results <- opened{c, err}
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

// open dials a connection that is already counted.
func (p *pool) open(address netip.AddrPort) (*conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	socket, err := p.dial(ctx, "tcp", address.String())
	if err != nil {
		p.mu.Lock()
		p.redialAt = time.Now().Add(redialPause)
		p.mu.Unlock()
		p.closed()
		p.counters.unreachable.Inc()
		return nil, &Error{Op: "open connection", Kind: KindUnreachable,
			Err: errors.Wrap(broker.ErrUnreachable, err.Error())}
	}
	p.counters.opened.Inc()
	return newConn(socket), nil
}

// release takes back a connection whose exchange ended cleanly.
func (p *pool) release(c *conn) {
	p.mu.Lock()
	if c.reused {
		p.silent = 0
	}
	if p.live > p.limit || p.ready == 0 {
		p.mu.Unlock()
		p.discard(c)
		return
	}
	c.reused, c.idleSince = true, time.Now()
	p.idle = append(p.idle, c)
	p.wake()
	p.mu.Unlock()
}

// discard closes a connection in the background; it counts until it is closed.
func (p *pool) discard(c *conn) <-chan struct{} {
	p.counters.closed.Inc()
	done := make(chan struct{})
	go func() {
		c.shut(closeLinger)
		p.closed()
		close(done)
	}()
	return done
}

// closed frees the place of a connection.
func (p *pool) closed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.live--
	if !p.wake() {
		p.fill()
	}
}

// wake tells the longest waiting request to try again and returns whether there was one.
func (p *pool) wake() bool {
	if len(p.waiters) == 0 {
		return false
	}
	p.waiters[0] <- struct{}{}
	p.waiters = p.waiters[1:]
	return true
}

// leave removes a waiter, passing on a wake-up that it got at the same time.
func (p *pool) leave(woken chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, waiter := range p.waiters {
		if waiter == woken {
			p.waiters = append(p.waiters[:i:i], p.waiters[i+1:]...)
			return
		}
	}
	p.wake()
}

// fill opens connections ahead of need.
func (p *pool) fill() {
	if len(p.waiters) > 0 || time.Now().Before(p.redialAt) {
		return
	}
	for len(p.idle)+p.opening < p.ready && p.live < p.limit {
		p.live++
		p.opening++
		go p.openAhead(p.address)
	}
}

func (p *pool) openAhead(address netip.AddrPort) {
	c, err := p.open(address)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opening--
	switch {
	case err != nil: // the next request or probe reports it
	case p.address != address || p.ready == 0 || p.live > p.limit:
		p.discard(c)
	default:
		// It is a reserve: connections that have carried requests are used first, because they are known to work.
		c.reused = true
		p.idle = append([]*conn{c}, p.idle...)
		p.wake()
	}
}

// configure sets address and cap, closing idle connections that no longer fit.
func (p *pool) configure(address netip.AddrPort, limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.address != address {
		p.address = address
		p.redialAt = time.Time{}
		p.drop(len(p.idle))
	}
	p.limit = max(limit, 1)
	p.ready = min(p.ready, p.limit)
	p.drop(min(p.live-p.limit, len(p.idle)))
}

// retain sets how many idle connections are held open; zero closes all idle ones.
func (p *pool) retain(ready int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ready = min(ready, p.limit)
	if p.ready == 0 {
		p.drop(len(p.idle))
	}
	p.fill()
}

// noteSilent counts a silent exchange. Connections go silent together where a device between the hosts forgets them,
// so the second one in a row closes the idle ones; a single one may also be a straggler.
func (p *pool) noteSilent() {
	p.counters.silent.Inc()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.silent++; p.silent >= 2 {
		p.silent = 0
		p.drop(len(p.idle))
	}
}

// drop closes the given number of idle connections, the least recently used first.
func (p *pool) drop(count int) {
	if count <= 0 {
		return
	}
	for _, c := range p.idle[:count] {
		p.discard(c)
	}
	p.idle = append([]*conn(nil), p.idle[count:]...)
}

// connections returns how many connections are being dialed, open or being closed.
func (p *pool) connections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.live
}
