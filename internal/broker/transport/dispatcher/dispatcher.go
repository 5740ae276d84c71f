package dispatcher

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/state/holder"
	"github.com/yuccarock/yuccarock/internal/broker/state/indexer"
)

// Options are the limits of an exchange with a backend server.
type Options struct {
	// FirstByteTimeout is the maximum wait for the first byte of an answer on a reused connection.
	FirstByteTimeout time.Duration
	// MaxAnswerBytes is the maximum size of the body of an answer.
	MaxAnswerBytes int
	// MaxBufferedBytes is the memory of all answers that are being received, in bytes. Faulty servers may send without
	// end, many at once.
	MaxBufferedBytes int64
	// MaxConnections is the number of connections to all servers together; zero means no limit. Each server may have one.
	MaxConnections int
	// Dial opens TCP connections; nil selects a net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// DefaultOptions returns the options for production on a host whose memory and sockets are not limited.
func DefaultOptions() Options {
	return Options{FirstByteTimeout: 500 * time.Millisecond, MaxAnswerBytes: 8 << 20, MaxBufferedBytes: 48 << 20}
}

// answersInBuffer is the number of complete answers of the maximum size that fit in: only half of the buffer is for large
// answers, which exist twice while they are put together.
const answersInBuffer = 4

// LimitMemory reduces the limits to what fits in the given memory for answers, in bytes.
func (o *Options) LimitMemory(answers int64) {
	o.MaxBufferedBytes = min(o.MaxBufferedBytes, answers)
	o.MaxAnswerBytes = min(o.MaxAnswerBytes, int(o.MaxBufferedBytes/answersInBuffer))
}

// counters are the metrics of this package.
type counters struct {
	opened, closed, dialsFailed, silent *metrics.Counter
}

// Dispatcher implements broker.Backend over HTTP/1.1.
type Dispatcher struct {
	options  Options
	dial     dialFunc
	counters *counters
	budget   budget // of answers that are being received
	sockets  sockets
	pools    *holder.Holder[map[broker.ServerName]*pool]
}

var _ broker.Backend = (*Dispatcher)(nil)

// New returns a dispatcher without servers, which SetTable adds. Its metrics are registered in set.
func New(options Options, set *metrics.Set) *Dispatcher {
	if options.Dial == nil {
		options.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &Dispatcher{
		options: options,
		dial:    options.Dial,
		budget:  budget{limit: options.MaxBufferedBytes},
		sockets: sockets{limit: options.MaxConnections},
		counters: &counters{
			opened:      set.GetOrCreateCounter("yuccarock_backend_connections_opened_total"),
			closed:      set.GetOrCreateCounter("yuccarock_backend_connections_closed_total"),
			dialsFailed: set.GetOrCreateCounter("yuccarock_backend_dials_failed_total"),
			silent:      set.GetOrCreateCounter("yuccarock_backend_connections_silent_total"),
		},
		pools: holder.New(&map[broker.ServerName]*pool{}),
	}
}

// SetTable sets the servers with their addresses and connection limits. Connections to servers that are no longer
// listed are closed once idle.
func (d *Dispatcher) SetTable(table *indexer.Table) {
	d.sockets.divide(len(table.Config.Servers))
	d.pools.Update(func(current *map[broker.ServerName]*pool) *map[broker.ServerName]*pool {
		next := make(map[broker.ServerName]*pool, len(table.Config.Servers))
		for i := range table.Config.Servers {
			server := &table.Config.Servers[i]
			name := broker.ServerName(server.Name)
			p := (*current)[name]
			if p == nil {
				p = &pool{dial: d.dial, counters: d.counters, sockets: &d.sockets}
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

// Retain opens and keeps up to minIdle idle connections to a server, within its connection limit. Zero closes the idle
// connections, for example when another node becomes the owner of the server.
func (d *Dispatcher) Retain(server broker.ServerName, minIdle int) {
	if p := d.pool(server); p != nil {
		p.retain(minIdle)
	}
}

// Connections returns the number of connections to a server that are being dialed, open or being closed.
func (d *Dispatcher) Connections(server broker.ServerName) int {
	if p := d.pool(server); p != nil {
		return p.connections()
	}
	return 0
}

func (d *Dispatcher) pool(server broker.ServerName) *pool { return (*d.pools.Load())[server] }

// Send sends one request. If a reused connection fails before any byte was written, Send retries on a new connection.
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
		allowed: permission{permit: req.Permit},
	}
	var result broker.BackendResult
	e.mayReuse = func(r *reply) bool {
		result = interpret(&req.Sub, r)
		// After an answer to another request, that to this one may still arrive.
		return result.Answer.Reason != broker.ReasonMismatch
	}
	if _, err := d.exchangeOnce(ctx, p, &e, req.Fresh); err != nil {
		return failedResult(ctx, &req.Sub, &e, err)
	}
	result.Reused = e.reused
	result.BytesSent = true
	return result
}

// exchangeOnce sends the request. It tries a second, new connection only if a reused one failed before any byte was
// written.
func (d *Dispatcher) exchangeOnce(ctx context.Context, p *pool, e *exchange, fresh bool) (*reply, error) {
	c, err := p.acquire(ctx, fresh, e.allowed)
	if err != nil {
		return nil, err
	}
	reply, err := d.exchangeOn(ctx, p, c, e)
	if err == nil || e.sent || !e.reused || kindOf(err) != KindLost || ctx.Err() != nil {
		return reply, err
	}
	if c, err = p.acquire(ctx, true, e.allowed); err != nil {
		return nil, err
	}
	return d.exchangeOn(ctx, p, c, e)
}

// Status fetches the status endpoint of a server. The error wraps broker.ErrUnreachable if no process accepts the
// connection or the connection is lost.
func (d *Dispatcher) Status(
	ctx context.Context, server broker.ServerName, _ netip.AddrPort,
) (broker.BackendStatus, error) {
	var status broker.BackendStatus
	p := d.pool(server)
	if p == nil {
		return status, &Error{Op: "read status", Kind: KindUnreachable}
	}
	e := exchange{method: http.MethodGet, path: PathStatus, mayReuse: func(r *reply) bool { return requestOf(r) == "" }}
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
	if request := requestOf(reply); request != "" {
		return status, &Error{Op: "read status", Kind: KindMalformed, Err: errors.Errorf("answer to request %q", request)}
	}
	if err := json.Unmarshal(reply.body, &status); err != nil {
		return status, &Error{Op: "read status", Kind: KindMalformed, Err: err}
	}
	return status, nil
}
