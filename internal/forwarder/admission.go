package forwarder

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/state/accountant"
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

// readBody reads the whole body, because it may have to be sent to several servers, while the request could be answered in
// time.
func (f *Forwarder) readBody(
	r *http.Request, request *broker.OpaqueRequest, limits broker.RequestLimits, route *broker.Route, started time.Time,
) *broker.Failure {
	limit := limits.BodyBytes
	if limit == 0 {
		limit = defaultBodyLimit
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
