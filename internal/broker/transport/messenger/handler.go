package messenger

import (
	"context"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/transport/limiter"
)

const (
	// maxDelegationBytes limits the size of a delegation, of which the body of the caller's request is the largest part.
	maxDelegationBytes = 4 << 20
	// receiveTimeout is how long a delegation may take to arrive; another host sends it at once.
	receiveTimeout = 2 * time.Second
)

// Runner runs a delegation and passes its results to deliver; last is set with the last ones. An error means that it has
// not run any of it.
type Runner func(ctx context.Context, delegation *broker.Delegation, deliver func(results *broker.PartResults, last bool)) error

// Handler receives delegations of other hosts; it implements http.Handler.
type Handler struct {
	run       Runner
	logger    *slog.Logger
	received  *metrics.Counter
	malformed *metrics.Counter
}

// NewHandler returns a handler that passes delegations to run, with its metrics in set.
func NewHandler(run Runner, set *metrics.Set, logger *slog.Logger) *Handler {
	return &Handler{
		run: run, logger: logger, received: set.GetOrCreateCounter("yuccarock_delegations_received_total"),
		malformed: set.GetOrCreateCounter("yuccarock_delegations_malformed_total"),
	}
}

// ServeHTTP runs one delegation.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	delegation := &broker.Delegation{}
	body, err := limiter.ReadBody(r, maxDelegationBytes, started.Add(receiveTimeout))
	if err != nil {
		limiter.Abandon(w, r)
	} else {
		err = decMode.Unmarshal(body, delegation)
	}
	if err != nil {
		h.malformed.Inc()
		h.logger.Warn("refused a malformed delegation", "from", r.RemoteAddr, "bytes", len(body), "error", err)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	h.received.Inc()
	delegation.ReceivedAt = started
	header := w.Header()
	header["Date"], header["Content-Type"] = nil, nil
	wrote := false
	err = h.run(r.Context(), delegation, func(results *broker.PartResults, last bool) {
		encoded, err := encMode.Marshal(results)
		if err != nil {
			h.logger.Error("could not encode the results of a delegation", "id", delegation.RequestID, "error", err)
			return
		}
		if !wrote && last {
			header.Set("Content-Length", strconv.Itoa(len(encoded)))
		}
		wrote = true
		_, _ = w.Write(encoded) // an error means that the other host has disconnected
		if !last {
			_ = http.NewResponseController(w).Flush()
		}
	})
	if err != nil && !wrote {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
