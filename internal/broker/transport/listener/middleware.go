package listener

import (
	"fmt"
	"net/http"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
)

// limitConcurrency refuses requests above MaxConcurrent immediately, before they have any effect.
func (l *Listener) limitConcurrency(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case l.semaphore <- struct{}{}:
			defer func() { <-l.semaphore }()
			next.ServeHTTP(w, r)
		default:
			l.countQuery(string(broker.StatusNotRun))
			writeJSON(w, http.StatusServiceUnavailable,
				broker.Answer{Status: broker.StatusNotRun, Reason: broker.ReasonOverloaded})
		}
	})
}

func (l *Listener) limitBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, l.limits.MaxBody)
		next.ServeHTTP(w, r)
	})
}

// recoverPanics answers status 500 if the handler panics, so that the process and its other requests continue.
func (l *Listener) recoverPanics(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			if cause := recover(); cause != nil {
				l.metrics.GetOrCreateCounter("yuccarock_panics_total").Inc()
				l.logger.Error("request handler panicked", "path", r.URL.Path, "cause", cause)
				writeError(w, http.StatusInternalServerError, "internal", "internal error")
			}
		}()
		next.ServeHTTP(w, r)
	})
}

func (l *Listener) countQuery(status string) {
	l.metrics.GetOrCreateCounter(fmt.Sprintf(`yuccarock_queries_total{status=%q}`, status)).Inc()
}

func (l *Listener) recordAnswer(answer broker.Answer, elapsed time.Duration) {
	l.countQuery(string(answer.Status))
	l.metrics.GetOrCreateHistogram("yuccarock_query_seconds").Update(elapsed.Seconds())
	l.metrics.GetOrCreateCounter("yuccarock_shards_total").Add(answer.Coverage.ShardsTotal)
	l.metrics.GetOrCreateCounter("yuccarock_shards_answered_total").Add(answer.Coverage.ShardsAnswered)
	for _, missing := range answer.Coverage.Missing {
		name := fmt.Sprintf(`yuccarock_shards_missing_total{reason=%q}`, missing.Reason)
		l.metrics.GetOrCreateCounter(name).Inc()
	}
}
