package dispatcher

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/state/holder"
	"github.com/yuccarock/yuccarock/internal/broker/state/indexer"
)

// Options bound the exchanges with backend servers.
type Options struct {
	// Silence is how long a reused connection may stay without a byte of the answer.
	Silence time.Duration
	// AnswerBytes is the largest body of an answer.
	AnswerBytes int
	// Dial opens TCP connections; nil uses the operating system's.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// DefaultOptions returns the bounds for production.
func DefaultOptions() Options {
	return Options{Silence: 500 * time.Millisecond, AnswerBytes: 8 << 20}
}

// counters are the metrics of this package.
type counters struct {
	opened, closed, unreachable, silent *metrics.Counter
}

// Dispatcher implements broker.Backend over HTTP/1.1.
type Dispatcher struct {
	options  Options
	dial     dialFunc
	counters *counters
	pools    *holder.Holder[map[broker.ServerName]*pool]
}

var _ broker.Backend = (*Dispatcher)(nil)

// New returns a dispatcher without servers; SetTable gives their addresses and caps. The metrics go to set.
func New(options Options, set *metrics.Set) *Dispatcher {
	if options.Dial == nil {
		options.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &Dispatcher{
		options: options,
		dial:    options.Dial,
		counters: &counters{
			opened:      set.GetOrCreateCounter("yuccarock_backend_connections_opened_total"),
			closed:      set.GetOrCreateCounter("yuccarock_backend_connections_closed_total"),
			unreachable: set.GetOrCreateCounter("yuccarock_backend_dials_failed_total"),
			silent:      set.GetOrCreateCounter("yuccarock_backend_connections_silent_total"),
		},
		pools: holder.New(&map[broker.ServerName]*pool{}),
	}
}

// SetTable takes addresses and connection caps; connections to servers that are gone are closed once idle.
func (d *Dispatcher) SetTable(table *indexer.Table) {
	d.pools.Update(func(current *map[broker.ServerName]*pool) *map[broker.ServerName]*pool {
		next := make(map[broker.ServerName]*pool, len(table.Config.Servers))
		for i := range table.Config.Servers {
			server := &table.Config.Servers[i]
			name := broker.ServerName(server.Name)
			p := (*current)[name]
			if p == nil {
				p = &pool{dial: d.dial, counters: d.counters}
			}
			p.configure(server.Address, server.Connections)
			next[name] = p
		}
		for name, p := range *current {
			if next[name] == nil {
				p.retain(0)
			}
		}
		return &next
	})
}

// Retain holds up to ready idle connections to a server open, ahead of need and within its cap; zero closes the idle
// ones, as when another node becomes the owner.
func (d *Dispatcher) Retain(server broker.ServerName, ready int) {
	if p := d.pool(server); p != nil {
		p.retain(ready)
	}
}

// Connections returns how many connections to a server are being dialed, open or being closed.
func (d *Dispatcher) Connections(server broker.ServerName) int {
	if p := d.pool(server); p != nil {
		return p.connections()
	}
	return 0
}

func (d *Dispatcher) pool(server broker.ServerName) *pool { return (*d.pools.Load())[server] }

// Send runs one request on one connection. Where not one byte was written on a reused connection, it uses a new one.
func (d *Dispatcher) Send(ctx context.Context, req broker.BackendRequest) broker.BackendResult {
	p := d.pool(req.Sub.Server)
	if p == nil {
		return notRun(&req.Sub, broker.ReasonNoReplica)
	}
	payload, err := json.Marshal(SearchRequest{
		RequestID: req.Sub.RequestID, Shard: req.Sub.Shard, Snapshot: req.Sub.Snapshot,
		Partitioning: req.Sub.Partitioning, Attempt: req.Sub.Attempt, Limit: req.Sub.Limit,
		Kind: req.Sub.Kind, Body: req.Sub.Body,
	})
	if err != nil {
		return notRun(&req.Sub, broker.ReasonBackendError)
	}
	e := exchange{
		method: http.MethodPost, path: PathSearch, payload: payload, trace: req.Sub.TraceParent,
		permit: req.Permit,
	}
	reply, err := d.exchangeOnce(ctx, p, &e, req.Fresh)
	if err != nil {
		return broken(ctx, &req.Sub, &e, err)
	}
	result := interpret(&req.Sub, reply)
	result.Reused = e.reused
	result.BytesSent = true
	return result
}

// exchangeOnce sends the request so that its bytes leave at most once.
func (d *Dispatcher) exchangeOnce(ctx context.Context, p *pool, e *exchange, fresh bool) (*reply, error) {
	c, err := p.acquire(ctx, fresh)
	if err != nil {
		return nil, err
	}
	reply, err := d.run(ctx, p, c, e)
	if err == nil || e.sent || !e.reused || kindOf(err) != KindLost || ctx.Err() != nil {
		return reply, err
	}
	if c, err = p.acquire(ctx, true); err != nil {
		return nil, err
	}
	return d.run(ctx, p, c, e)
}

// Status reads the status endpoint; an error has broker.ErrUnreachable in its chain where no process accepts or
// keeps a connection.
func (d *Dispatcher) Status(
	ctx context.Context, server broker.ServerName, _ netip.AddrPort,
) (broker.BackendStatus, error) {
	var status broker.BackendStatus
	p := d.pool(server)
	if p == nil {
		return status, &Error{Op: "read status", Kind: KindUnreachable}
	}
	e := exchange{method: http.MethodGet, path: PathStatus}
	reply, err := d.exchangeOnce(ctx, p, &e, false)
	if kind := kindOf(err); err != nil && e.reused && (kind == KindSilent || kind == KindLost) {
		reply, err = d.exchangeOnce(ctx, p, &e, true)
	}
	if err != nil {
		if kindOf(err) == KindLost {
			return status, &Error{Op: "read status", Kind: KindLost, Err: broker.ErrUnreachable}
		}
		return status, err
	}
	if reply.status != http.StatusOK {
		return status, &Error{Op: "read status", Kind: KindStatus}
	}
	if err := json.Unmarshal(reply.body, &status); err != nil {
		return status, &Error{Op: "read status", Kind: KindMalformed, Err: err}
	}
	return status, nil
}
