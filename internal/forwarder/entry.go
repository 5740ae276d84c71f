package forwarder

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/drainer"
	"github.com/yuccarock/yuccarock/internal/broker/state/registrar"
	"github.com/yuccarock/yuccarock/internal/broker/state/router"
)

const (
	// answerMargin is the part of the caller's timeout that is reserved for sending the answer.
	answerMargin = 15 * time.Millisecond
	// defaultTimeout applies if neither the caller nor the route sets a timeout.
	defaultTimeout = 30 * time.Second
	// The times after which callers are asked to retry. After notReadyRetry, a host that has just started may know the
	// configuration; after noServerRetry, a server may have room or may have been registered; after leavingRetry, callers
	// should try another host.
	notReadyRetry = 300 * time.Millisecond
	noServerRetry = 100 * time.Millisecond
	leavingRetry  = 10 * time.Millisecond
)

// serveCaller answers one request of a caller.
func (f *Forwarder) serveCaller(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	f.lastRequest.Store(int64(started.Sub(f.createdAt)))
	f.work.arrived()
	if f.drainer.Leaving() {
		w.Header().Set("Connection", "close")
	}
	request, err := f.codec.Decode(r)
	if err != nil {
		f.refuseUnread(w, r, "", broker.Failure{Kind: broker.FailureMalformed})
		return
	}
	if !f.drainer.Begin() {
		f.refuseUnread(w, r, request.ID,
			broker.Failure{Kind: broker.FailureNotRun, Reason: broker.ReasonLeaving, RetryAfter: leavingRetry})
		return
	}
	defer f.drainer.End()
	view, entry := f.receive(w, r, request, started)
	if entry == nil {
		return
	}
	if f.quarantine.isQuarantined(request, entry.Route) {
		f.refuse(w, r, request.ID,
			broker.Failure{Kind: broker.FailureNotRun, Reason: broker.ReasonQuarantined, RetryAfter: quarantineRetry})
		return
	}
	deadline := started.Add(requestTimeout(request, entry.Route))
	if !entry.Idempotent && f.cutoff.before(deadline) {
		// The answer might come too late to be passed on, and the request must not run again.
		f.refuse(w, r, request.ID,
			broker.Failure{Kind: broker.FailureNotRun, Reason: broker.ReasonLeaving, RetryAfter: leavingRetry})
		return
	}
	kind, ok := requestKind(entry)
	if !ok {
		f.refuse(w, r, request.ID,
			broker.Failure{Kind: broker.FailureNotRun, Reason: broker.ReasonNoReplica, RetryAfter: noServerRetry})
		return
	}
	lease, err := f.lease(r.Context(), entry.Route, request)
	if err != nil {
		f.refuse(w, r, request.ID,
			broker.Failure{Kind: broker.FailureNotRun, Reason: broker.ReasonOverloaded, RetryAfter: noServerRetry})
		return
	}
	defer lease.Release()
	ctx, span := f.tracer.Start(r.Context(), "entry.request", attribute.String("route", entry.Name))
	defer span.End()
	session := &session{
		forwarder: f, view: view, route: entry.Route, kind: kind, request: request,
		started: started, deadline: deadline, lease: lease,
	}
	session.answer(ctx, w)
	span.SetAttributes(attribute.String("result", session.result))
}

// requestKind returns the request kind of the next request of a route, or false if no target takes it.
func requestKind(entry *router.Entry) (string, bool) {
	if entry.Scatter() {
		return registrar.KindName(entry.Route, ""), true
	}
	target := entry.Next()
	if target == nil {
		return "", false
	}
	return registrar.KindName(entry.Route, target.Service), true
}

// requestTimeout returns how long this host may take for a request.
func requestTimeout(request *broker.OpaqueRequest, route *broker.Route) time.Duration {
	limit := defaultTimeout
	if route.Timeout > 0 {
		limit = route.Timeout
	}
	if request.Timeout > 0 {
		limit = min(limit, request.Timeout)
	}
	return max(limit-answerMargin, limit/2)
}

// refuse answers a request that was not sent to any backend server.
func (f *Forwarder) refuse(w http.ResponseWriter, r *http.Request, id string, failure broker.Failure) {
	f.meters.requestEnded(nil, string(failure.Reason), 0)
	if skipped, ok := f.requestLogLimiter.Allow(time.Now()); ok {
		var version broker.Revision
		if view := f.registrar.View(); view != nil {
			version = view.Catalog.Version
		}
		f.logger.Info("request refused", "id", id, "host", r.Host, "path", r.URL.Path, "version", version,
			"kind", failure.Kind.String(), "reason", failure.Reason, "skippedLines", skipped)
	}
	f.codec.WriteError(w, failure)
}

// Ready returns nil if this host takes requests, and the reason as an error of kind KindNotReady otherwise.
func (f *Forwarder) Ready() error {
	if f.settings.resolvesOnly() {
		return &Error{Op: "take requests", Kind: KindNotReady, Err: errors.New("the host is a resolver")}
	}
	if state := f.drainer.State(); state != drainer.StateServing {
		return &Error{Op: "take requests", Kind: KindNotReady, Err: errors.New("the host is " + state)}
	}
	if f.registrar.View() == nil {
		return &Error{Op: "take requests", Kind: KindNotReady, Err: errors.New("no configuration is in force")}
	}
	if f.isolated() {
		return &Error{Op: "take requests", Kind: KindNotReady, Err: errors.New("store, hosts and servers are unreachable")}
	}
	return nil
}

func (f *Forwarder) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(HeaderProcess, f.process)
	w.Header().Set(HeaderLoad, strconv.FormatFloat(f.load.ownCores(), 'f', 3, 64))
	if digest := f.quarantine.digest(); digest != "" {
		w.Header().Set(HeaderQuarantine, digest)
	}
	if err := f.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (f *Forwarder) serveMetrics(w http.ResponseWriter, _ *http.Request) { f.set.WritePrometheus(w) }
