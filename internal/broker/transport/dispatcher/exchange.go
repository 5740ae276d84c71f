package dispatcher

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"
)

// exchange is one request, with what is known of its way to the server.
type exchange struct {
	method  string
	path    string
	payload []byte
	trace   string
	permit  func() bool

	sent   bool // a byte of the request may have left
	reused bool // the last connection had carried another request or was opened ahead of need
}

// reply is a whole HTTP answer.
type reply struct {
	status int
	body   []byte
}

// run makes the exchange on a connection, which it releases or discards.
func (d *Dispatcher) run(ctx context.Context, p *pool, c *conn, e *exchange) (*reply, error) {
	e.reused = c.reused
	c.begin(e.permit, d.options.AnswerBytes+headerAllowance)
	stop := context.AfterFunc(ctx, c.interrupt)
	answer, keep, err := d.transfer(ctx, c, e)
	e.sent = e.sent || c.written > 0
	uninterrupted := stop()
	if err != nil || !keep || !uninterrupted || c.reader.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil {
		done := p.discard(c)
		if e.sent && !uninterrupted {
			// The server may run the request until it sees the close; its slot is not free before.
			<-done
		}
	} else {
		p.release(c)
	}
	if err == nil {
		return answer, nil
	}
	if kindOf(err) == KindSilent {
		p.noteSilent()
	}
	return nil, err
}

// transfer writes the request and reads its whole answer; keep is whether the connection can carry another one.
func (d *Dispatcher) transfer(ctx context.Context, c *conn, e *exchange) (answer *reply, keep bool, err error) {
	request := e.request(ctx, c.RemoteAddr().String())
	if err := request.Write(c.writer); err != nil {
		return nil, false, classify(ctx, c, "send request", err)
	}
	if err := c.writer.Flush(); err != nil {
		return nil, false, classify(ctx, c, "send request", err)
	}
	if err := d.awaitFirstByte(ctx, c); err != nil {
		return nil, false, err
	}
	response, err := readResponse(c, request)
	if err != nil {
		return nil, false, classify(ctx, c, "read answer", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.ContentLength > int64(d.options.AnswerBytes) {
		return nil, false, &Error{Op: "read answer", Kind: KindTooLarge}
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, int64(d.options.AnswerBytes)+1))
	if err != nil {
		return nil, false, classify(ctx, c, "read answer", err)
	}
	if len(body) > d.options.AnswerBytes {
		return nil, false, &Error{Op: "read answer", Kind: KindTooLarge}
	}
	return &reply{status: response.StatusCode, body: body}, !response.Close, nil
}

// request builds the HTTP request, without GetBody, so that nothing in net/http can send it twice.
func (e *exchange) request(ctx context.Context, host string) *http.Request {
	request := &http.Request{
		Method: e.method,
		URL:    &url.URL{Scheme: "http", Host: host, Path: e.path},
		Proto:  "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: make(http.Header, 3),
		Host:   host,
	}
	if e.payload != nil {
		request.Header["Content-Type"] = []string{"application/json"}
		request.Body = io.NopCloser(bytes.NewReader(e.payload))
		request.ContentLength = int64(len(e.payload))
	}
	if deadline, ok := ctx.Deadline(); ok {
		request.Header[HeaderDeadline] = []string{max(time.Until(deadline), 0).String()}
	}
	if e.trace != "" {
		request.Header["Traceparent"] = []string{e.trace}
	}
	return request
}

// awaitFirstByte waits for the answer; on a reused connection only for the silence timeout or half of the remaining
// time, whichever is less.
func (d *Dispatcher) awaitFirstByte(ctx context.Context, c *conn) error {
	if c.reused {
		silence := d.options.Silence
		if deadline, ok := ctx.Deadline(); ok {
			silence = min(silence, time.Until(deadline)/2)
		}
		if err := c.expect(time.Now().Add(silence)); err != nil {
			return classify(ctx, c, "await answer", err)
		}
	}
	if _, err := c.reader.Peek(1); err != nil {
		return classify(ctx, c, "await answer", err)
	}
	if c.reused {
		if err := c.expect(time.Time{}); err != nil {
			return classify(ctx, c, "await answer", err)
		}
	}
	return nil
}

// readResponse reads the header of the final response, skipping informational ones.
func readResponse(c *conn, request *http.Request) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
		_ = response.Body.Close()
	}
}

// classify gives the kind of an error on a connection.
func classify(ctx context.Context, c *conn, op string, err error) error {
	c.mu.Lock()
	interrupted := c.interrupted
	c.mu.Unlock()
	var timeout net.Error
	switch {
	case errors.Is(err, errWithheld):
		return &Error{Op: op, Kind: KindWithheld, Err: err}
	case errors.Is(err, errTooLarge):
		return &Error{Op: op, Kind: KindTooLarge, Err: err}
	case interrupted || ctx.Err() != nil:
		return &Error{Op: op, Kind: KindInterrupted, Err: context.Cause(ctx)}
	case errors.As(err, &timeout) && timeout.Timeout():
		return &Error{Op: op, Kind: KindSilent, Err: err}
	default:
		return &Error{Op: op, Kind: KindLost, Err: err}
	}
}
