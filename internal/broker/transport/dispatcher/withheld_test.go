package dispatcher

import (
	"bytes"
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
)

// TestWithheld guards against bytes of a request that may no longer be sent by the time at which a connection is free, and
// against one that goes on waiting for a connection then.
func TestWithheld(t *testing.T) {
	tests := []struct {
		name string
		body int
		wait bool // for a connection, while the permission ends
	}{
		{name: "refused before", body: 10},
		{name: "refused before, large body", body: 4 * asyncWriteSize},
		{name: "refused while it waits", body: 10, wait: true},
		{name: "refused while it waits, large body", body: 4 * asyncWriteSize, wait: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var refused atomic.Bool
			changed := make(chan struct{})
			var received atomic.Int64
			d := newDispatcher(listenForBytes(t, &received).Addr(), 1)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			text := []byte("POST /x HTTP/1.1\r\nHost: h\r\n\r\n")
			head := func() []byte { return text }
			if tt.wait {
				go d.Exchange(ctx, "a1", &broker.ServerRequest{Method: "POST", Head: head}) // stays without an answer
				for received.Load() < int64(len(text)) {
					time.Sleep(time.Millisecond)
				}
				time.AfterFunc(50*time.Millisecond, func() {
					refused.Store(true)
					close(changed)
				})
			} else {
				refused.Store(true)
			}
			before := received.Load()
			began := time.Now()
			reply := d.Exchange(ctx, "a1", &broker.ServerRequest{
				Method: "POST", Head: head, Body: bytes.Repeat([]byte("b"), tt.body),
				Refusal: func() broker.Reason {
					if refused.Load() {
						return broker.ReasonDraining
					}
					return broker.ReasonNone
				},
				Changed: func() <-chan struct{} { return changed },
			})
			if reply.Sent || reply.Answer != nil || reply.Reason != broker.ReasonDraining {
				t.Errorf("reply: got sent %v, reason %q, want not sent, %q", reply.Sent, reply.Reason, broker.ReasonDraining)
			}
			if took := time.Since(began); took > time.Second {
				t.Errorf("time until the reply: got %v, want at most 1 s", took)
			}
			if got := received.Load() - before; got != 0 {
				t.Errorf("bytes that the server received: got %d, want 0", got)
			}
		})
	}
}

// listenForBytes starts a server that counts what it receives and answers nothing.
func listenForBytes(t *testing.T, received *atomic.Int64) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				buffer := make([]byte, 4096)
				for {
					n, err := c.Read(buffer)
					received.Add(int64(n))
					if err != nil {
						return
					}
				}
			}()
		}
	}()
	return listener
}
