package forwarder

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/state/accountant"
	"github.com/yuccarock/yuccarock/internal/broker/state/registrar"
	"github.com/yuccarock/yuccarock/internal/broker/state/router"
	"github.com/yuccarock/yuccarock/internal/broker/transport/limiter"
)

const (
	// defaultBodyLimit applies if the configuration sets no limit, in bytes.
	defaultBodyLimit = 1 << 20
	// Log lines about connections that had to give way are limited to evictionLogRate per second with a burst of
	// evictionLogBurst.
	evictionLogRate  = 1
	evictionLogBurst = 5
)

// bodyFailures are the failures of requests whose bodies could not be read. None of them has run.
var bodyFailures = map[limiter.ErrorKind]broker.Failure{
	limiter.KindTooLarge:  {Kind: broker.FailureTooLarge},
	limiter.KindTimeout:   {Kind: broker.FailureIncomplete, Reason: broker.ReasonDeadline},
	limiter.KindNoRoom:    {Kind: broker.FailureNotRun, Reason: broker.ReasonOverloaded, RetryAfter: noServerRetry},
	limiter.KindMalformed: {Kind: broker.FailureMalformed},
}

// receive reads the body of a request, and returns the view and the route that apply once it has arrived. Without them, the
// request has been refused.
func (f *Forwarder) receive(
	w http.ResponseWriter, r *http.Request, request *broker.OpaqueRequest, started time.Time,
) (*registrar.View, *router.Entry) {
	view := f.registrar.View()
	if view == nil {
		f.refuseUnread(w, r, request.ID,
			broker.Failure{Kind: broker.FailureNotRun, Reason: broker.ReasonNotReady, RetryAfter: notReadyRetry})
		return nil, nil
	}
	if f.isolated() && !f.isolation.allowTrial(started) {
		f.refuseUnread(w, r, request.ID,
			broker.Failure{Kind: broker.FailureNotRun, Reason: broker.ReasonIsolated, RetryAfter: leavingRetry})
		return nil, nil
	}
	entry := view.Routes.Match(request.Host, request.Path)
	if entry == nil {
		f.refuseUnread(w, r, request.ID, broker.Failure{Kind: broker.FailureNoRoute})
		return nil, nil
	}
	if failure := f.readBody(r, request, view.Catalog.Limits, entry.Route, started); failure != nil {
		f.refuseUnread(w, r, request.ID, *failure)
		return nil, nil
	}
	view = f.registrar.View() // a slow body takes seconds, in which servers leave
	if entry = view.Routes.Match(request.Host, request.Path); entry == nil {
		f.refuse(w, r, request.ID, broker.Failure{Kind: broker.FailureNoRoute})
	}
	return view, entry
}

// readBody reads the whole body, because it may have to be sent to several servers, while the request could be answered in
// time.
func (f *Forwarder) readBody(
	r *http.Request, request *broker.OpaqueRequest, limits broker.RequestLimits, route *broker.Route, started time.Time,
) *broker.Failure {
	limit := limits.BodyBytes
	if limit == 0 {
		limit = defaultBodyLimit
	}
	if r.ContentLength <= limit && !f.fits(route, r.ContentLength) {
		failure := bodyFailures[limiter.KindNoRoom]
		return &failure
	}
	body, err := limiter.ReadBody(r, limit, started.Add(requestTimeout(request, route)))
	if err != nil {
		failure := broker.Failure{Kind: broker.FailureMalformed}
		if cause := (*limiter.Error)(nil); errors.As(err, &cause) {
			failure = bodyFailures[cause.Kind]
		}
		return &failure
	}
	request.Body = body
	return nil
}

// lease reserves the memory of a request that is about to run.
func (f *Forwarder) lease(
	ctx context.Context, route *broker.Route, request *broker.OpaqueRequest,
) (*accountant.Lease, error) {
	return limiter.Lease(ctx, attempts(route), int64(len(request.Body))*f.copies(route))
}

// fits reports whether there may be memory for a request with a body of the given size, -1 if that is unknown.
func (f *Forwarder) fits(route *broker.Route, size int64) bool {
	size = max(size, 0)
	return f.account.Fits(limiter.Needs(attempts(route))+size*(1+f.copies(route)), accountant.IsLarge(size))
}

// attempts returns the number of attempts that a request on a route begins with.
func attempts(route *broker.Route) int { return max(1, len(route.Shards)) }

// copies returns how often the body of a request is copied: each of the other zones gets it with a delegation.
func (f *Forwarder) copies(route *broker.Route) int64 {
	if !route.Scatter() {
		return 0
	}
	return int64(max(len(f.settings.Zones)-1, 0))
}

// refuseUnread refuses a request whose body has not been read to its end, and closes its connection.
func (f *Forwarder) refuseUnread(w http.ResponseWriter, r *http.Request, id string, failure broker.Failure) {
	limiter.Abandon(w, r)
	f.refuse(w, r, id, failure)
}

// evicted records that a connection had to give way to others.
func (f *Forwarder) evicted(e accountant.Eviction) {
	f.set.GetOrCreateCounter(fmt.Sprintf("yuccarock_connections_evicted_total{phase=%q}", e.Phase)).Inc()
	if skipped, ok := f.evictionLimiter.Allow(time.Now()); ok {
		f.logger.Warn("closed a connection to make room", "phase", e.Phase.String(), "ageMs", e.Age.Milliseconds(),
			"bytes", e.Bytes, "requestMemory", f.account.Used(), "skippedLines", skipped)
	}
}
