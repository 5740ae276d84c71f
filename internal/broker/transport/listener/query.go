package listener

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/propagation"

	"github.com/yuccarock/yuccarock/internal/broker"
)

// TimeoutHeader is the request header with the caller's timeout for a query, as a Go duration.
const TimeoutHeader = "Yuccarock-Timeout"

// maxRequestID is the maximum length of a request ID in bytes. The ID is kept in memory and sent on every hop.
const maxRequestID = 128

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Kind    string `json:"kind"`
	Message string `json:"message"`
}

func writeError(w http.ResponseWriter, status int, kind, message string) {
	writeJSON(w, status, errorBody{Error: errorDetail{Kind: kind, Message: message}})
}

func (l *Listener) handleQuery(w http.ResponseWriter, r *http.Request) {
	query, err := decodeQuery(r.Body)
	if err != nil {
		l.countQuery("invalid")
		status := http.StatusBadRequest
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			status = http.StatusRequestEntityTooLarge
		}
		writeError(w, status, string(broker.KindInvalid), err.Error())
		return
	}
	timeout, err := l.queryTimeout(r)
	if err != nil {
		l.countQuery("invalid")
		writeError(w, http.StatusBadRequest, string(broker.KindInvalid), err.Error())
		return
	}
	ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	start := time.Now()
	answer, err := l.service.Query(ctx, query)
	if err != nil {
		l.countQuery("invalid")
		writeError(w, http.StatusBadRequest, string(broker.KindInvalid), err.Error())
		return
	}
	l.recordAnswer(answer, time.Since(start))
	writeJSON(w, statusCode(answer.Status), answer)
}

// decodeQuery decodes one JSON object. It refuses unknown fields and data after the object.
func decodeQuery(body io.Reader) (broker.Query, error) {
	var query broker.Query
	decoder := json.NewDecoder(body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&query); err != nil {
		return query, fmt.Errorf("could not decode the query: %w", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return query, errors.New("could not decode the query: data after the JSON object")
	}
	switch {
	case query.RequestID == "" || len(query.RequestID) > maxRequestID:
		return query, fmt.Errorf("requestId must have 1 to %d characters", maxRequestID)
	case query.Kind == "":
		return query, errors.New("kind is missing")
	case query.Limit < 0:
		return query, errors.New("limit must not be negative")
	}
	return query, nil
}

func (l *Listener) queryTimeout(r *http.Request) (time.Duration, error) {
	text := r.Header.Get(TimeoutHeader)
	if text == "" {
		return l.limits.MaxQueryTime, nil
	}
	timeout, err := time.ParseDuration(text)
	if err != nil || timeout <= 0 {
		return 0, fmt.Errorf("%s must be a positive duration such as \"200ms\"", TimeoutHeader)
	}
	return min(timeout, l.limits.MaxQueryTime), nil
}

func statusCode(status broker.Status) int {
	switch status {
	case broker.StatusComplete, broker.StatusPartial:
		return http.StatusOK
	case broker.StatusOutcomeUnknown:
		return http.StatusGatewayTimeout
	default:
		return http.StatusServiceUnavailable
	}
}
