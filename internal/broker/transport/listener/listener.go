package listener

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/justinas/alice"
	pkgerrors "github.com/pkg/errors"

	"github.com/yuccarock/yuccarock/internal/broker"
)

// Limits restrict the HTTP requests of callers to one node.
type Limits struct {
	MaxBody       int64         // maximum size of a request body in bytes
	MaxHeader     int           // maximum size of the request headers in bytes
	MaxConcurrent int           // maximum number of queries in progress
	ReadTimeout   time.Duration // maximum time to read a request
	IdleTimeout   time.Duration // maximum time that a connection may be idle
	MaxQueryTime  time.Duration // maximum time of a query
}

// DefaultLimits returns the limits that apply if the settings specify none.
func DefaultLimits() Limits {
	return Limits{
		MaxBody:       1 << 20,
		MaxHeader:     16 << 10,
		MaxConcurrent: 4096,
		ReadTimeout:   5 * time.Second,
		IdleTimeout:   30 * time.Second,
		MaxQueryTime:  30 * time.Second,
	}
}

// Listener is the HTTP server of one node.
type Listener struct {
	service   broker.QueryService
	limits    Limits
	metrics   *metrics.Set
	logger    *slog.Logger
	server    *http.Server
	semaphore chan struct{} // one value per query in progress
}

// New returns a listener that passes queries to service and serves the metrics of set at /metrics.
func New(service broker.QueryService, limits Limits, set *metrics.Set, logger *slog.Logger) *Listener {
	l := &Listener{
		service:   service,
		limits:    limits,
		metrics:   set,
		logger:    logger,
		semaphore: make(chan struct{}, limits.MaxConcurrent),
	}
	l.server = &http.Server{
		Handler:           l.Handler(),
		ReadTimeout:       limits.ReadTimeout,
		ReadHeaderTimeout: limits.ReadTimeout,
		// ReadTimeout is added so that an answer can still be written at the deadline of the query.
		WriteTimeout:   limits.MaxQueryTime + limits.ReadTimeout,
		IdleTimeout:    limits.IdleTimeout,
		MaxHeaderBytes: limits.MaxHeader,
		ErrorLog:       slog.NewLogLogger(logger.Handler(), slog.LevelDebug),
	}
	return l
}

// Handler returns the handler for all routes, with middleware.
func (l *Listener) Handler() http.Handler {
	query := alice.New(l.limitConcurrency, l.limitBody)
	mux := http.NewServeMux()
	mux.Handle("POST /v1/query", query.ThenFunc(l.handleQuery))
	mux.HandleFunc("GET /v1/entries", l.handleEntries)
	mux.HandleFunc("GET /v1/status", l.handleStatus)
	mux.HandleFunc("GET /metrics", l.handleMetrics)
	mux.HandleFunc("GET /livez", l.handleLive)
	mux.HandleFunc("GET /readyz", l.handleReady)
	return alice.New(l.recoverPanics).Then(mux)
}

// Serve accepts connections on listener until Shutdown or Close is called.
func (l *Listener) Serve(listener net.Listener) error {
	if err := l.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return pkgerrors.Wrap(err, "could not serve callers")
	}
	return nil
}

// Shutdown stops accepting connections and waits for requests in progress until ctx is done.
func (l *Listener) Shutdown(ctx context.Context) error { return l.server.Shutdown(ctx) }

// Close closes all connections immediately.
func (l *Listener) Close() error { return l.server.Close() }

// Listen opens a TCP socket at the given address.
func Listen(address netip.AddrPort) (net.Listener, error) {
	socket, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
	return socket, pkgerrors.Wrapf(err, "could not listen on %s", address)
}

func (l *Listener) handleEntries(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, l.service.Entries(time.Now()))
}

func (l *Listener) handleStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, l.service.Status())
}

func (l *Listener) handleMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	l.metrics.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

func (l *Listener) handleLive(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusNoContent)
}

func (l *Listener) handleReady(w http.ResponseWriter, _ *http.Request) {
	if err := l.service.Ready(); err != nil {
		writeError(w, http.StatusServiceUnavailable, string(broker.KindNotReady), err.Error())
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		http.Error(w, "could not encode the answer", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data) // an error means that the caller can no longer be reached
}
