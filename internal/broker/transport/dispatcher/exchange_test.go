package dispatcher

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"testing"
	"testing/synctest"
	"time"
)

// TestRequestBytes guards against requests that differ from those of net/http, for example because line breaks in the
// trace context add a header.
func TestRequestBytes(t *testing.T) {
	tests := []struct {
		name     string
		exchange exchange
		timeout  time.Duration // zero for no deadline
	}{
		{"search", exchange{method: http.MethodPost, path: PathSearch, payload: []byte(`{"a":1}`), trace: "00-1-2-01"},
			150 * time.Millisecond},
		{"trace with line breaks", exchange{method: http.MethodPost, path: PathSearch, payload: []byte(`{}`),
			trace: " x\r\nHost: other\n"}, time.Second},
		{"status without deadline", exchange{method: http.MethodGet, path: PathStatus}, 0},
	}
	for _, test := range tests {
		synctest.Test(t, func(t *testing.T) {
			ctx, header := t.Context(), http.Header{}
			if test.timeout > 0 {
				limited, cancel := context.WithTimeout(ctx, test.timeout)
				defer cancel()
				ctx = limited
				header.Set(HeaderDeadline, test.timeout.String())
			}
			request := &http.Request{Method: test.exchange.method, Header: header, Host: "10.0.0.1:9200",
				URL: &url.URL{Scheme: "http", Host: "10.0.0.1:9200", Path: test.exchange.path}}
			if test.exchange.payload != nil {
				header.Set("Content-Type", "application/json")
				request.Body = io.NopCloser(bytes.NewReader(test.exchange.payload))
				request.ContentLength = int64(len(test.exchange.payload))
			}
			if test.exchange.trace != "" {
				header.Set(HeaderTrace, test.exchange.trace)
			}
			var got, want bytes.Buffer
			c := &conn{remote: request.Host, writer: bufio.NewWriter(&got)}
			if err := test.exchange.write(ctx, c); err != nil {
				t.Fatal(err)
			}
			if err := request.Write(&want); err != nil {
				t.Fatal(err)
			}
			c.writer.Flush()
			if got.String() != want.String() {
				t.Errorf("%s: got %q, want %q", test.name, got.String(), want.String())
			}
		})
	}
}
