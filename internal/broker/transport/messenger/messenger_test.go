package messenger

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/yuccarock/yuccarock/internal/broker"
)

func part(position int) broker.PartResult {
	return broker.PartResult{
		Position: position, Outcome: broker.OutcomeAnswered, Sent: true, Latency: time.Millisecond, Signature: "s",
	}
}

// startHost starts an HTTP server in place of another host and returns its address.
func startHost(t *testing.T, handler http.Handler) netip.AddrPort {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

// runnerHost starts a host that runs delegations with run.
func runnerHost(t *testing.T, run Runner) netip.AddrPort {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle("POST "+Path, NewHandler(run, metrics.NewSet(), slog.New(slog.DiscardHandler)))
	return startHost(t, mux)
}

// respond returns a handler that answers with status and body and then closes the connection in the middle of the
// answer if cut is set.
func respond(status int, body []byte, cut bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write(body)
		_ = http.NewResponseController(w).Flush()
		if cut {
			panic(http.ErrAbortHandler)
		}
	})
}

func encode(t *testing.T, results ...*broker.PartResults) []byte {
	t.Helper()
	var body []byte
	for _, each := range results {
		data, err := encMode.Marshal(each)
		if err != nil {
			t.Fatal(err)
		}
		body = append(body, data...)
	}
	return body
}

// TestDelegation guards against a delegation that changes on its way, and against results that wait for later ones.
func TestDelegation(t *testing.T) {
	sent := &broker.Delegation{
		RequestID: "c1", Method: http.MethodGet, Target: "/all/x?y=1", Host: "h.example",
		Header: http.Header{"X-Two": {"a", "b"}}, Body: []byte{0, 1}, Remaining: time.Second, CollectFor: time.Millisecond,
		TopRecords: 3, Servers: []broker.ServerName{"i-1", "i-2"},
	}
	release := make(chan struct{})
	received := make(chan *broker.Delegation, 1)
	address := runnerHost(t, func(_ context.Context, d *broker.Delegation, deliver func(*broker.PartResults, bool)) error {
		received <- d
		deliver(&broker.PartResults{Parts: []broker.PartResult{part(1)}, Records: []byte("first")}, false)
		<-release
		deliver(&broker.PartResults{Parts: []broker.PartResult{part(0)}, Records: []byte("second")}, true)
		return nil
	})
	var got []string
	ran, err := NewClient(metrics.NewSet()).Send(t.Context(), address, sent, func(r *broker.PartResults) {
		got = append(got, string(r.Records))
		if len(got) == 1 {
			close(release)
		}
	})
	if !ran || err != nil {
		t.Fatalf("got sent %v and error %v, want true and none", ran, err)
	}
	if want := "first second"; strings.Join(got, " ") != want {
		t.Errorf("results: got %q, want %q", got, want)
	}
	want, _ := encMode.Marshal(sent)
	if data, _ := encMode.Marshal(<-received); !bytes.Equal(data, want) {
		t.Errorf("received delegation: got %x, want %x", data, want)
	}
}

// TestNotRun guards against sub-requests that are lost, or run twice, because a host refuses a delegation, does not know
// such messages, does not run, or has lost its address to a process that sends the delegation on to others.
func TestNotRun(t *testing.T) {
	closed := httptest.NewServer(http.NotFoundHandler())
	closedAddress := netip.MustParseAddrPort(closed.Listener.Addr().String())
	closed.Close()
	elsewhere := startHost(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		t.Error("another host: got the delegation by a redirection")
	}))
	tests := []struct {
		name    string
		address netip.AddrPort
		want    ErrorKind
	}{
		{name: "redirects", want: KindRefused, address: startHost(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "http://"+elsewhere.String()+r.URL.Path, http.StatusTemporaryRedirect)
		}))},
		{name: "earlier version", address: startHost(t, http.NotFoundHandler()), want: KindRefused},
		{name: "leaving", want: KindRefused,
			address: runnerHost(t, func(context.Context, *broker.Delegation, func(*broker.PartResults, bool)) error {
				return errors.New("leaving")
			})},
		{name: "no process", address: closedAddress, want: KindUnreachable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sent, err := NewClient(metrics.NewSet()).Send(t.Context(), tt.address,
				&broker.Delegation{Servers: []broker.ServerName{"i-1"}}, func(*broker.PartResults) { t.Error("got results, want none") })
			var typed *Error
			if sent || !errors.As(err, &typed) || typed.Kind != tt.want {
				t.Errorf("got sent %v and error %v, want false and kind %s", sent, err, tt.want)
			}
		})
	}
}

// TestBrokenResults guards against a broken answer of a host that counts as complete, a part that counts twice, and
// bytes without end that fill the memory.
func TestBrokenResults(t *testing.T) {
	whole := encode(t, &broker.PartResults{Parts: []broker.PartResult{part(0)}})
	endless := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		chunk := bytes.Repeat([]byte{0x5f}, 64<<10) // in CBOR, the start of a string without a stated length
		for r.Context().Err() == nil {
			if _, err := w.Write(chunk); err != nil {
				return
			}
		}
	})
	longString := append([]byte{0xa1, 0x02, 0x5a, 0xff, 0xff, 0xff, 0xff}, make([]byte, 64<<10)...) // states 4 GB
	tests := []struct {
		name    string
		handler http.Handler
		want    int // delivered messages
	}{
		{name: "ends early", handler: respond(http.StatusOK, whole, false), want: 1},
		{name: "cut in the middle", handler: respond(http.StatusOK, whole[:len(whole)-3], true)},
		{name: "same part twice", handler: respond(http.StatusOK, append(bytes.Clone(whole), whole...), false), want: 1},
		{name: "unknown part", want: 0,
			handler: respond(http.StatusOK, encode(t, &broker.PartResults{Parts: []broker.PartResult{part(7)}}), false)},
		{name: "no message", handler: respond(http.StatusOK, []byte("HTTP/1.1 200 OK\r\n\r\n"), false)},
		{name: "bytes without end", handler: endless},
		{name: "long string", handler: respond(http.StatusOK, longString, true)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			delivered := 0
			sent, err := NewClient(metrics.NewSet()).Send(ctx, startHost(t, tt.handler),
				&broker.Delegation{Servers: []broker.ServerName{"i-1", "i-2"}}, func(*broker.PartResults) { delivered++ })
			if !sent || err == nil || ctx.Err() != nil {
				t.Errorf("got sent %v, error %v and context error %v, want an error of a delegation that may have run", sent, err, ctx.Err())
			}
			if delivered != tt.want {
				t.Errorf("delivered messages: got %d, want %d", delivered, tt.want)
			}
		})
	}
}

// TestMalformedDelegation guards against running a message of another format or size, and against refusing it unnoticed.
func TestMalformedDelegation(t *testing.T) {
	tests := []struct {
		name string
		body io.Reader
	}{
		{name: "not a delegation", body: strings.NewReader("{}")},
		{name: "empty", body: strings.NewReader("")},
		{name: "oversized", body: bytes.NewReader(make([]byte, maxDelegationBytes+1))},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			set := metrics.NewSet()
			var log bytes.Buffer
			handler := NewHandler(func(context.Context, *broker.Delegation, func(*broker.PartResults, bool)) error {
				t.Error("the message was run")
				return nil
			}, set, slog.New(slog.NewTextHandler(&log, nil)))
			answer := httptest.NewRecorder()
			handler.ServeHTTP(answer, httptest.NewRequest(http.MethodPost, Path, tt.body))
			if got, want := answer.Code, http.StatusBadRequest; got != want {
				t.Errorf("status: got %d, want %d", got, want)
			}
			if got, want := set.GetOrCreateCounter("yuccarock_delegations_malformed_total").Get(), uint64(1); got != want {
				t.Errorf("counter: got %d, want %d", got, want)
			}
			if !strings.Contains(log.String(), "malformed") {
				t.Errorf("log: got %q, want a line on the malformed delegation", log.String())
			}
		})
	}
}

// TestSlowDelegation guards against sub-requests that are given more time than is left, because the body of the delegation took
// long to arrive.
func TestSlowDelegation(t *testing.T) {
	const stated, delay = 2 * time.Second, 300 * time.Millisecond
	received := make(chan time.Duration, 1)
	host := runnerHost(t, func(_ context.Context, delegation *broker.Delegation, _ func(*broker.PartResults, bool)) error {
		received <- time.Until(delegation.ReceivedAt.Add(delegation.Remaining))
		return nil
	})
	body, err := encMode.Marshal(&broker.Delegation{RequestID: "r", Servers: []broker.ServerName{"s"}, Remaining: stated})
	if err != nil {
		t.Fatal(err)
	}
	reader, writer := io.Pipe()
	go func() {
		_, _ = writer.Write(body[:1])
		time.Sleep(delay)
		_, _ = writer.Write(body[1:])
		_ = writer.Close()
	}()
	request, err := http.NewRequest(http.MethodPost, "http://"+host.String()+Path, reader)
	if err != nil {
		t.Fatal(err)
	}
	// The body is sent once the host has read the head and asks for it, so that the whole delay is after the arrival of the head.
	request.Header.Set("Expect", "100-continue")
	client := &http.Client{Transport: &http.Transport{ExpectContinueTimeout: time.Minute, DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if got, want := <-received, stated-delay; got > want {
		t.Errorf("time left: got %v, want at most %v", got, want)
	}
}
