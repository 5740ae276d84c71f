package forwarder

import (
	"errors"
	"net"
	"net/netip"
	"testing"
	"time"
)

// TestPendingConnections guards against a planned stop that resets connections that callers have opened and that have not
// been accepted yet.
func TestPendingConnections(t *testing.T) {
	const callers = 20
	listener, err := listen(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	for range callers {
		caller, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = caller.Close() })
	}
	closed := make(chan error, 1)
	go func() { closed <- listener.Close() }()
	time.Sleep(20 * time.Millisecond) // the stop comes before the acceptance
	accepted := 0
	for {
		conn, err := listener.Accept()
		if err != nil {
			if !errors.Is(err, net.ErrClosed) {
				t.Errorf("Accept() at the end: got %v, want %v", err, net.ErrClosed)
			}
			break
		}
		accepted++
		_ = conn.Close()
	}
	if accepted != callers {
		t.Errorf("accepted connections: got %d, want %d", accepted, callers)
	}
	if err := <-closed; err != nil {
		t.Errorf("Close(): got %v, want no error", err)
	}
	if _, err := net.Dial("tcp", listener.Addr().String()); err == nil {
		t.Error("connection after Close(): got one, want none")
	}
}
