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
	headerTimeout = "Yuccarock-Timeout"
	maxAnswerSize = 64 << 20
)

// result is what one attempt brought.
type result struct {
	entry  netip.AddrPort
	sent   bool // bytes of the query may have left this process
	answer *Answer
	err    error // where there is no answer
}

// run is one query with its attempts.
type run struct {
	client   *Client
	query    Query
	body     []byte
	results  chan result
	tried    map[netip.AddrPort]int
	attempts int
	pending  int
	heard    *atomic.Bool // whether the last attempt got the first byte of an answer
	// maybeRan is whether an attempt that ended without an answer may have run.
	maybeRan bool
	last     *Answer // last answer that did not settle the query
	lastErr  error
}

func newRun(client *Client, query Query) (*run, error) {
	body, err := json.Marshal(query)
	if err != nil {
		return nil, errors.Wrap(err, "could not write query")
	}
	return &run{client: client, query: query, body: body, tried: make(map[netip.AddrPort]int),
		results: make(chan result, client.options.Attempts)}, nil
}

// wait sends the query until an answer settles it, the attempts are used up or ctx ends; the caller cancels ctx
// then, which closes the connections of attempts that have not answered.
func (r *run) wait(ctx context.Context) (Answer, error) {
	r.launch(ctx)
	silence := time.NewTimer(r.silence(ctx))
	defer silence.Stop()
	for {
		select {
		case res := <-r.results:
			r.pending--
			if settled, err := r.judge(res); settled {
				return *res.answer, err
			} else if err != nil {
				return Answer{}, err
			}
			if r.pending > 0 {
				continue
			}
			if !r.pause(ctx, res) {
				return r.giveUp()
			}
			r.launch(ctx)
			silence.Reset(r.silence(ctx))
		case <-silence.C:
			if !r.heard.Load() && r.attempts < r.client.options.Attempts && r.client.takeToken() {
				r.client.pooled.CloseIdleConnections()
				r.launch(ctx)
				silence.Reset(r.silence(ctx))
			}
		case <-ctx.Done():
			r.lastErr = errors.Wrapf(ctx.Err(), "last failure: %v", r.lastErr)
			r.maybeRan = r.maybeRan || r.pending > 0
			return r.giveUp()
		}
	}
}

func (r *run) silence(ctx context.Context) time.Duration {
	deadline, _ := ctx.Deadline()
	return min(r.client.options.Silence, time.Until(deadline)/2)
}

// judge returns whether the attempt settles the query, or an error if the query is malformed.
func (r *run) judge(res result) (bool, error) {
	if res.answer == nil {
		var typed *Error
		if errors.As(res.err, &typed) && typed.Kind == KindInvalid {
			return false, typed
		}
		r.client.resolver.noteFailure(res.entry)
		r.lastErr = errors.Wrapf(res.err, "entry %v", res.entry)
		r.maybeRan = r.maybeRan || res.sent
		return false, nil
	}
	if len(res.answer.Entries) > 0 {
		r.client.resolver.adopt(res.answer.Entries)
	}
	switch res.answer.Status {
	case StatusNotRun:
		r.last = res.answer
		return res.answer.Reason == reasonQuarantined && !r.maybeRan && r.pending == 0, nil
	case StatusOutcomeUnknown:
		r.last, r.maybeRan = res.answer, true
		return res.answer.Reason != reasonDuplicate && r.pending == 0, nil
	default:
		return true, nil
	}
}

// pause waits before the next attempt and returns whether there may be one.
func (r *run) pause(ctx context.Context, res result) bool {
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
			if !r.client.takeToken() {
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

// giveUp states what is known of a query that no answer settled.
func (r *run) giveUp() (Answer, error) {
	if r.last != nil {
		answer := *r.last
		answer.RequestID = r.query.RequestID
		if r.maybeRan {
			answer.Status = StatusOutcomeUnknown
		}
		return answer, nil
	}
	kind := KindNotRun
	if r.maybeRan {
		kind = KindOutcomeUnknown
	}
	return Answer{}, &Error{Op: "send query", Kind: kind,
		Err: errors.Wrapf(r.lastErr, "request %s, %d attempt(s)", r.query.RequestID, r.attempts)}
}

// launch starts an attempt at the entry that comes next.
func (r *run) launch(ctx context.Context) {
	address := r.client.resolver.order(r.tried)[0]
	r.tried[address]++
	r.attempts++
	r.pending++
	transport := r.client.pooled
	if r.attempts > 1 {
		transport = r.client.fresh
	}
	heard := &atomic.Bool{}
	r.heard = heard
	go func() { r.results <- r.attempt(ctx, transport, address, heard) }()
}

// attempt sends the query once.
func (r *run) attempt(ctx context.Context, transport http.RoundTripper, address netip.AddrPort,
	heard *atomic.Bool) result {
	res := result{entry: address}
	var sent atomic.Bool
	deadline, _ := ctx.Deadline()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:              func(httptrace.GotConnInfo) { sent.Store(true) },
		GotFirstResponseByte: func() { heard.Store(true) },
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
	res.answer, res.err = r.read(resp)
	return res
}

// read returns the answer of an entry; anything that is not one is treated like a lost connection.
func (r *run) read(resp *http.Response) (*Answer, error) {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerSize))
	if err != nil {
		return nil, errors.Wrap(err, "could not read answer")
	}
	if resp.StatusCode >= http.StatusBadRequest && resp.StatusCode < http.StatusInternalServerError {
		var refusal struct {
			Error struct {
				Kind    string `json:"kind"`
				Message string `json:"message"`
			} `json:"error"`
		}
		if err := json.Unmarshal(data, &refusal); err != nil || refusal.Error.Kind == "" {
			return nil, errors.Errorf("status %d without a typed error", resp.StatusCode)
		}
		return nil, &Error{Op: "send query", Kind: KindInvalid,
			Err: errors.Errorf("%s: %s", refusal.Error.Kind, refusal.Error.Message)}
	}
	answer := &Answer{}
	if err := json.Unmarshal(data, answer); err != nil {
		return nil, errors.Wrapf(err, "could not parse answer with status %d", resp.StatusCode)
	}
	// An entry at its limit of requests refuses before it reads the request ID.
	unread := answer.RequestID == "" && answer.Status == StatusNotRun
	if answer.RequestID != r.query.RequestID && !unread {
		return nil, errors.Errorf("answer belongs to request %q", answer.RequestID)
	}
	switch answer.Status {
	case StatusComplete, StatusPartial, StatusInsufficientCoverage, StatusNotRun, StatusOutcomeUnknown:
		return answer, nil
	default:
		return nil, errors.Errorf("status %q is unknown", answer.Status)
	}
}
