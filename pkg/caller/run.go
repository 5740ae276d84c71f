package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	headerTimeout  = "Yuccarock-Timeout"
	maxAnswerSize  = 64 << 20 // bytes
	maxHeaderBytes = 64 << 10
)

// attemptResult is the result of one attempt.
type attemptResult struct {
	entry  netip.AddrPort
	sent   bool // bytes of the query may have been sent
	answer *Answer
	err    error // if there is no answer
}

// run is the execution of one query in one or more attempts.
type run struct {
	client            *Client
	query             Query
	body              []byte
	results           chan attemptResult
	attemptsByEntry   map[netip.AddrPort]int
	attempts          int          // started
	pending           int          // started and not ended
	firstByteReceived *atomic.Bool // by the last attempt
	mayHaveRun        bool         // an attempt with an unknown outcome may have run
	lastAnswer        *Answer      // last answer that did not settle the query
	lastErr           error
}

func newRun(client *Client, query Query) (*run, error) {
	body, err := json.Marshal(query)
	if err != nil {
		return nil, errors.Wrap(err, "could not encode query")
	}
	return &run{client: client, query: query, body: body, attemptsByEntry: make(map[netip.AddrPort]int),
		results: make(chan attemptResult, client.options.Attempts)}, nil
}

// execute sends the query until an answer settles it, all attempts are used or ctx ends. The caller must then cancel
// ctx to close the connections of pending attempts.
func (r *run) execute(ctx context.Context) (Answer, error) {
	r.startAttempt(ctx)
	silence := time.NewTimer(r.silenceTimeout(ctx))
	defer silence.Stop()
	for {
		select {
		case res := <-r.results:
			r.pending--
			if settled, err := r.handleResult(res); settled {
				return *res.answer, err
			} else if err != nil {
				return Answer{}, err
			}
			if r.pending > 0 {
				continue
			}
			if !r.waitBeforeRetry(ctx, res) {
				return r.finishUnsettled()
			}
			r.startAttempt(ctx)
			silence.Reset(r.silenceTimeout(ctx))
		case <-silence.C:
			if !r.firstByteReceived.Load() && r.attempts < r.client.options.Attempts && r.client.takeResendToken() {
				r.client.pooled.CloseIdleConnections()
				r.startAttempt(ctx)
				silence.Reset(r.silenceTimeout(ctx))
			}
		case <-ctx.Done():
			r.lastErr = errors.Wrapf(ctx.Err(), "last failure: %v", r.lastErr)
			r.mayHaveRun = r.mayHaveRun || r.pending > 0
			return r.finishUnsettled()
		}
	}
}

func (r *run) silenceTimeout(ctx context.Context) time.Duration {
	deadline, _ := ctx.Deadline()
	return min(r.client.options.Silence, time.Until(deadline)/2)
}

// handleResult records the result of an attempt. It reports whether the result settles the query, or returns an error
// if the query is malformed.
func (r *run) handleResult(res attemptResult) (bool, error) {
	if res.answer == nil {
		var typed *Error
		if errors.As(res.err, &typed) && typed.Kind == KindInvalid {
			return false, typed
		}
		r.client.resolver.recordFailure(res.entry)
		r.lastErr = errors.Wrapf(res.err, "entry %v", res.entry)
		r.mayHaveRun = r.mayHaveRun || res.sent
		return false, nil
	}
	if len(res.answer.Entries) > 0 {
		r.client.resolver.replaceEntries(res.answer.Entries)
	}
	switch res.answer.Status {
	case StatusNotRun:
		r.lastAnswer = res.answer
		return res.answer.Reason == reasonQuarantined && !r.mayHaveRun && r.pending == 0, nil
	case StatusOutcomeUnknown:
		r.lastAnswer, r.mayHaveRun = res.answer, true
		return res.answer.Reason != reasonDuplicate && r.pending == 0, nil
	default:
		return true, nil
	}
}

// waitBeforeRetry reports whether another attempt is permitted, after the delay that it requires.
func (r *run) waitBeforeRetry(ctx context.Context, res attemptResult) bool {
	if r.attempts >= r.client.options.Attempts {
		return false
	}
	if res.answer == nil && r.attempts < 2 {
		return true
	}
	if res.answer != nil {
		switch res.answer.Reason {
		case reasonQuarantined:
			return false
		case reasonLeaving, reasonZoneOut, reasonNotOwner, reasonDuplicate:
		default:
			if !r.client.takeResendToken() {
				return false
			}
		}
	}
	timer := time.NewTimer(backoff(r.attempts))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// finishUnsettled returns the result of a query that no answer settled.
func (r *run) finishUnsettled() (Answer, error) {
	if r.lastAnswer != nil {
		answer := *r.lastAnswer
		answer.RequestID = r.query.RequestID
		if r.mayHaveRun {
			answer.Status = StatusOutcomeUnknown
		}
		return answer, nil
	}
	kind := KindNotRun
	if r.mayHaveRun {
		kind = KindOutcomeUnknown
	}
	return Answer{}, &Error{Op: "send query", Kind: kind,
		Err: errors.Wrapf(r.lastErr, "request %s, %d attempt(s)", r.query.RequestID, r.attempts)}
}

// startAttempt sends the query to the preferred entry in the background.
func (r *run) startAttempt(ctx context.Context) {
	address := r.client.resolver.rankedAddresses(r.attemptsByEntry)[0]
	r.attemptsByEntry[address]++
	r.attempts++
	r.pending++
	transport := r.client.pooled
	if r.attempts > 1 {
		transport = r.client.unpooled
	}
	firstByteReceived := &atomic.Bool{}
	r.firstByteReceived = firstByteReceived
	go func() { r.results <- r.sendOnce(ctx, transport, address, firstByteReceived) }()
}

// sendOnce sends the query to one entry and reads the answer.
func (r *run) sendOnce(ctx context.Context, transport http.RoundTripper, address netip.AddrPort,
	firstByteReceived *atomic.Bool) attemptResult {
	res := attemptResult{entry: address}
	var sent atomic.Bool
	deadline, _ := ctx.Deadline()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:              func(httptrace.GotConnInfo) { sent.Store(true) },
		GotFirstResponseByte: func() { firstByteReceived.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address.String()+"/v1/query",
		bytes.NewReader(r.body))
	if err != nil {
		res.err = err
		return res
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(headerTimeout, max(time.Until(deadline), 0).String())
	resp, err := transport.RoundTrip(req)
	res.sent = sent.Load()
	if err != nil {
		res.err = err
		return res
	}
	defer func() { _ = resp.Body.Close() }()
	res.answer, res.err = r.readAnswer(resp)
	return res
}

// readAnswer decodes the answer of an entry. It returns an error of KindInvalid if the entry rejected the query as
// malformed; every other error is treated like a lost connection.
func (r *run) readAnswer(resp *http.Response) (*Answer, error) {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerSize))
	if err != nil {
		return nil, errors.Wrap(err, "could not read answer")
	}
	if resp.StatusCode < http.StatusOK {
		return nil, errors.Errorf("no valid HTTP status: %q", resp.Status)
	}
	if resp.StatusCode >= http.StatusBadRequest && resp.StatusCode < http.StatusInternalServerError {
		var refusal struct {
			Error struct {
				Kind    string `json:"kind"`
				Message string `json:"message"`
			} `json:"error"`
		}
		if err := json.Unmarshal(data, &refusal); err != nil || refusal.Error.Kind == "" {
			return nil, errors.Errorf("HTTP status %d without an error kind", resp.StatusCode)
		}
		return nil, &Error{Op: "send query", Kind: KindInvalid,
			Err: errors.Errorf("%s: %s", refusal.Error.Kind, refusal.Error.Message)}
	}
	answer := &Answer{}
	if err := json.Unmarshal(data, answer); err != nil {
		return nil, errors.Wrapf(err, "could not parse answer with HTTP status %d", resp.StatusCode)
	}
	// An entry at its limit of concurrent requests refuses a query before it reads the request ID.
	unread := answer.RequestID == "" && answer.Status == StatusNotRun
	if answer.RequestID != r.query.RequestID && !unread {
		return nil, errors.Errorf("answer has the ID of another request: %q", answer.RequestID)
	}
	switch answer.Status {
	case StatusComplete, StatusPartial, StatusInsufficientCoverage, StatusNotRun, StatusOutcomeUnknown:
		return answer, nil
	default:
		return nil, errors.Errorf("answer has unknown status %q", answer.Status)
	}
}
