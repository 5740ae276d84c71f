package dispatcher

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
)

const (
	// asyncWriteSize is the body size in bytes from which a request is written in the background while its answer is
	// awaited, because a server may answer before it has read a long body.
	asyncWriteSize = 16 << 10
	// defaultIdleTimeout is the idle time after which a connection is not reused if the server states no timeout.
	defaultIdleTimeout = 5 * time.Second
	// idleMargin is subtracted from a server's idle timeout, because a request sent while the server closes the
	// connection may or may not have run.
	idleMargin = 500 * time.Millisecond
)

var _ broker.Exchanger = (*Dispatcher)(nil)

// Exchange sends a prepared request. If a reused connection fails before any byte was written, Exchange retries on a
// new connection.
func (d *Dispatcher) Exchange(
	ctx context.Context, server broker.ServerName, request *broker.ServerRequest,
) broker.ServerReply {
	p := d.pool(server)
	if p == nil {
		return broker.ServerReply{Reason: broker.ReasonNoReplica}
	}
	e := exchange{method: request.Method, makeHead: request.Head, payload: request.Body}
	refusal := broker.ReasonNone
	if request.Refusal != nil {
		e.allowed = permission{changed: request.Changed, permit: func() bool {
			refusal = request.Refusal()
			return refusal == broker.ReasonNone
		}}
	}
	if request.Reuse != nil {
		e.mayReuse = func(r *reply) bool { return request.Reuse(r.header) }
	}
	reply, err := d.exchangeOnce(ctx, p, &e, false)
	if err != nil {
		reason := reasonOf(ctx, err)
		if kindOf(err) == KindWithheld {
			reason = refusal
		}
		if reason == broker.ReasonCrashed {
			// A closed connection does not prove that the server crashed.
			reason = broker.ReasonLost
		}
		return broker.ServerReply{
			Sent: e.sent, BytesSent: e.bytesSent, BytesReceived: e.bytesReceived, Reason: reason, Err: err,
			Outages: e.outages,
		}
	}
	return broker.ServerReply{
		Answer: &broker.OpaqueAnswer{
			Status: reply.status, Header: reply.header, Body: reply.body, FirstOnConnection: !reply.followsOthers,
		}, Sent: true,
		BytesSent: e.bytesSent, BytesReceived: e.bytesReceived,
	}
}

// idleTimeout returns how long a connection may stay idle after a response and still be reused.
func idleTimeout(response *http.Response) time.Duration {
	for _, field := range strings.Split(response.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil {
			stated := time.Duration(max(seconds, 0)) * time.Second
			return max(stated-idleMargin, stated/2)
		}
	}
	return defaultIdleTimeout
}
