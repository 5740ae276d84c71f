package forwarder

import (
	"errors"
	"fmt"
	"io"
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

// readBody reads the whole body, because it may have to be sent to several servers.
func (f *Forwarder) readBody(
	w http.ResponseWriter, r *http.Request, request *broker.OpaqueRequest, limits broker.RequestLimits,
) *broker.Failure {
	if r.ContentLength == 0 {
		return nil
	}
	limit := limits.BodyBytes
	if limit == 0 {
		limit = defaultBodyLimit
	}
	if r.ContentLength > limit {
		return &broker.Failure{Kind: broker.FailureTooLarge}
	}
	var err error
	request.Body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err == nil {
		return nil
	}
	if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
		return &broker.Failure{Kind: broker.FailureTooLarge}
	}
	return &broker.Failure{Kind: broker.FailureMalformed}
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
