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
	// largeBody is the size from which a request is written while its answer is awaited: a server may answer before it
	// has read a long body.
	largeBody = 16 << 10
	// assumedIdle is how long an idle connection is trusted where the server does not state its timeout.
	assumedIdle = 5 * time.Second
	// idleMargin is how long before the end of a server's idle timeout a connection is no longer used, because a
	// request that crosses the close may or may not have run.
	idleMargin = 500 * time.Millisecond
)

var _ broker.Exchanger = (*Dispatcher)(nil)

// Exchange passes a prepared request on. Where not one byte was written on a reused connection, it uses a new one.
func (d *Dispatcher) Exchange(
	ctx context.Context, server broker.ServerName, request *broker.ServerRequest,
) broker.ServerReply {
	p := d.pool(server)
	if p == nil {
		return broker.ServerReply{Reason: broker.ReasonNoReplica}
	}
	e := exchange{method: request.Method, head: request.Head, payload: request.Body}
	if request.Reuse != nil {
		e.trust = func(r *reply) bool { return request.Reuse(r.header) }
	}
	reply, err := d.exchangeOnce(ctx, p, &e, false)
	if err != nil {
		reason := reasonOf(ctx, err)
		if reason == broker.ReasonCrashed {
			// A server that closes a connection need not have crashed.
			reason = broker.ReasonLost
		}
		return broker.ServerReply{Sent: e.sent, Reason: reason, Err: err}
	}
	return broker.ServerReply{
		Answer: &broker.OpaqueAnswer{Status: reply.status, Header: reply.header, Body: reply.body}, Sent: true,
	}
}

// idleTimeout returns how long a connection may be idle after a response.
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
	return assumedIdle
}
