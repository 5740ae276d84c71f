package dispatcher

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
)

// copyServer answers the requests of each connection with the next texts; closed receives once for each connection that
// the caller has closed.
func copyServer(t *testing.T, answers ...string) (address net.Addr, closed chan struct{}) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	closed = make(chan struct{}, 16)
	go func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = socket.Close() }()
				reader := bufio.NewReader(socket)
				for _, answer := range answers {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					_, _ = io.WriteString(socket, answer)
				}
				if _, err := reader.ReadByte(); err != nil {
					closed <- struct{}{}
				}
			}()
		}
	}()
	return listener.Addr(), closed
}

// receives returns whether a value arrives within the wait.
func receives(from chan struct{}, wait time.Duration) bool {
	select {
	case <-from:
		return true
	case <-time.After(wait):
		return false
	}
}

func httpAnswer(status int, content any) string {
	body, _ := json.Marshal(content)
	return fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

// TestLateCopies guards against a late second copy of an answer that is taken for the answer to the next request on the
// connection: a refusal that says that the next request has not run, although it has, or a status without shards.
func TestLateCopies(t *testing.T) {
	first := sub
	first.RequestID = "r0"
	answered := httpAnswer(http.StatusOK, SearchAnswer{RequestID: "r0", Shard: sub.Shard, Snapshot: sub.Snapshot,
		Partitioning: sub.Partitioning, Attempt: sub.Attempt, BootID: "b1"})
	refusal := Refusal{NotStarted: true, Reason: broker.ReasonShed}
	named := refusal
	named.RequestID, named.Attempt = "r0", 1
	own := refusal
	own.RequestID, own.Attempt = sub.RequestID, sub.Attempt
	earlierAttempt := own
	earlierAttempt.Attempt++
	tests := []struct {
		name       string
		copied     string // read as the answer to the second request
		idempotent bool
		want       broker.Outcome
		wantReason broker.Reason
		wantClosed bool // the connection, on which the answer to the second request may still arrive
	}{
		{"copy of an answer", answered, true, broker.OutcomeUnknown, broker.ReasonMismatch, true},
		{"copy of a refusal", httpAnswer(503, named), true, broker.OutcomeUnknown, broker.ReasonMismatch, true},
		{"copy of the refusal of another attempt", httpAnswer(503, earlierAttempt), true, broker.OutcomeUnknown, broker.ReasonMismatch, true},
		{"own refusal", httpAnswer(503, own), false, broker.OutcomeNotRun, broker.ReasonShed, false},
		{"refusal that names no request", httpAnswer(503, refusal), false, broker.OutcomeUnknown, broker.ReasonShed, false},
		{"refusal that names no request, may run twice", httpAnswer(503, refusal), true, broker.OutcomeNotRun, broker.ReasonShed, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			address, closed := copyServer(t, answered, tt.copied)
			d := newDispatcher(address, 1)
			d.keepIdle()
			second := sub
			second.Idempotent = tt.idempotent
			if got, want := d.Send(t.Context(), broker.BackendRequest{Sub: first}).Answer.Outcome, broker.OutcomeAnswered; got != want {
				t.Fatalf("first request: got %v, want %v", got, want)
			}
			got := d.Send(t.Context(), broker.BackendRequest{Sub: second}).Answer
			if got.Outcome != tt.want || got.Reason != tt.wantReason {
				t.Errorf("second request: got %v %q, want %v %q", got.Outcome, got.Reason, tt.want, tt.wantReason)
			}
			wait := 20 * time.Millisecond
			if tt.wantClosed {
				wait = 5 * time.Second
			}
			if got := receives(closed, wait); got != tt.wantClosed {
				t.Errorf("connection closed: got %t, want %t", got, tt.wantClosed)
			}
			// The garbage collector closes the idle connections of a dispatcher that is no longer used.
			runtime.KeepAlive(d)
		})
	}
	t.Run("status", func(t *testing.T) {
		address, closed := copyServer(t, answered, answered)
		d := newDispatcher(address, 1)
		d.keepIdle()
		d.Send(t.Context(), broker.BackendRequest{Sub: first})
		if got, err := d.Status(t.Context(), "a1", netip.AddrPort{}); err == nil {
			t.Errorf("status: got %+v from the answer to a request, want an error", got)
		}
		if !receives(closed, 5*time.Second) {
			t.Error("connection closed: got false, want true")
		}
	})
}
