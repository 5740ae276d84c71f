package limiter

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/yuccarock/yuccarock/internal/broker/state/accountant"
)

const (
	bodyLimit   = 64 << 10
	testTimeout = 10 * time.Second
)

// endpoint is a server whose handler answers with the size of the body.
type endpoint struct {
	address string
	account *accountant.Account
	timeout time.Duration
}

func newEndpoint(t *testing.T, shares accountant.Shares, timeout time.Duration) *endpoint {
	t.Helper()
	return newEndpointBehind(t, shares, timeout, func(c net.Conn) net.Conn { return c })
}

// newEndpointBehind starts a server on connections that wrap returns for those that were accepted.
func newEndpointBehind(t *testing.T, shares accountant.Shares, timeout time.Duration, wrap func(net.Conn) net.Conn) *endpoint {
	t.Helper()
	socket, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	e := &endpoint{
		address: socket.Addr().String(), account: accountant.New(shares, func(accountant.Eviction) {}), timeout: timeout,
	}
	server := &http.Server{Handler: http.HandlerFunc(e.serve), ReadHeaderTimeout: testTimeout}
	Prepare(server)
	go func() {
		_ = server.Serve(NewListener(wrappedListener{socket, wrap}, e.account, false, metrics.NewSet().NewCounter("refused")))
	}()
	t.Cleanup(func() { _ = server.Close() })
	return e
}

// wrappedListener wraps the connections that it accepts.
type wrappedListener struct {
	net.Listener

	wrap func(net.Conn) net.Conn
}

func (l wrappedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.wrap(c), nil
}

// heldConn holds each write back until released is closed.
type heldConn struct {
	net.Conn

	writing  chan struct{} // receives once for each write that is held back
	released chan struct{}
}

func (c *heldConn) Write(data []byte) (int, error) {
	c.writing <- struct{}{}
	<-c.released
	return c.Conn.Write(data)
}

func (e *endpoint) serve(w http.ResponseWriter, r *http.Request) {
	body, err := ReadBody(r, bodyLimit, time.Now().Add(e.timeout))
	if err != nil {
		Abandon(w, r)
		var cause *Error
		errors.As(err, &cause)
		http.Error(w, string(cause.Kind), http.StatusTeapot)
		return
	}
	if r.URL.Path == "/large" {
		_, _ = w.Write(make([]byte, 64<<20)) // more than the buffers of a connection
		return
	}
	_, _ = fmt.Fprint(w, len(body))
}

// exchange sends bytes on a new connection and returns everything that is answered until it is closed, or the first answer if
// that is not a refusal.
func (e *endpoint) exchange(t *testing.T, sent string) (answers []string) {
	t.Helper()
	c, err := net.Dial("tcp", e.address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	written := make(chan struct{})
	go func() {
		defer close(written)
		_, _ = io.WriteString(c, sent)
	}()
	reader := bufio.NewReader(c)
	for {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			break
		}
		body, err := io.ReadAll(response.Body)
		if err != nil {
			t.Errorf("answer: %v", err)
		}
		answers = append(answers, fmt.Sprintf("%d %s", response.StatusCode, strings.TrimSpace(string(body))))
		if response.StatusCode == http.StatusOK {
			break
		}
	}
	_ = c.Close()
	<-written
	return answers
}

func post(fields, body string) string {
	return "POST / HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n" + body
}

// TestReadBody guards against bodies inside the limit that are refused, and against refused ones whose rest is read as a request
// or keeps the caller from reading the refusal.
func TestReadBody(t *testing.T) {
	const smuggled = "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n"
	largest := strings.Repeat("b", bodyLimit)
	chunk := func(size int, body string) string { return fmt.Sprintf("%x\r\n%s\r\n", size, body) }
	chunked := "Transfer-Encoding: chunked\r\n"
	tests := []struct {
		name, sent, want string
	}{
		{"no body", post("Content-Length: 0\r\n", ""), "200 0"},
		{"small", post("Content-Length: 2\r\n", "bb"), "200 2"},
		{"largest", post(fmt.Sprintf("Content-Length: %d\r\n", bodyLimit), largest), "200 65536"},
		{"largest in one chunk", post(chunked, chunk(bodyLimit, largest)+"0\r\n\r\n"), "200 65536"},
		{"chunks of one byte", post(chunked, strings.Repeat("1\r\nb\r\n", 10_000)+"0\r\n\r\n"), "200 10000"},
		{"one byte above, announced", post(fmt.Sprintf("Content-Length: %d\r\n", bodyLimit+1), largest+"b"), "418 tooLarge"},
		{"one byte above, in chunks", post(chunked, chunk(bodyLimit+1, largest+"b")+"0\r\n\r\n"), "418 tooLarge"},
		{"far above, announced", post("Content-Length: 4294967296\r\n", strings.Repeat(smuggled, 10_000)), "418 tooLarge"},
		{"far above, in a chunk", post(chunked, "40000000\r\n"+strings.Repeat(smuggled, 10_000)), "418 tooLarge"},
		{"stops short", post("Content-Length: 99\r\n", smuggled), "418 timeout"},
		{"stops short in a chunk", post(chunked, "63\r\n"+smuggled), "418 timeout"},
		{"malformed chunk", post(chunked, "xyz\r\n"+smuggled), "418 malformed"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			timeout := testTimeout
			if strings.HasPrefix(tt.name, "stops short") {
				timeout = 50 * time.Millisecond
			}
			e := newEndpoint(t, accountant.Divide(0, 0), timeout)
			got := e.exchange(t, tt.sent)
			if len(got) != 1 || got[0] != tt.want {
				t.Errorf("answers: got %q, want only %q", got, tt.want)
			}
			awaitEmpty(t, e.account)
		})
	}
}

// awaitEmpty waits until the account holds nothing.
func awaitEmpty(t *testing.T, account *accountant.Account) {
	t.Helper()
	for end := time.Now().Add(testTimeout); account.Used() != 0 || account.Connections() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("account: got %d bytes and %d connections, want none", account.Used(), account.Connections())
		}
	}
}

// TestNoRoomForBody guards against a body that is read without room for it, and against one without room that is refused with
// an answer that cannot be read.
func TestNoRoomForBody(t *testing.T) {
	e := newEndpoint(t, accountant.Shares{Requests: bodyLimit / 2, Inbound: 4}, testTimeout)
	got := e.exchange(t, post(fmt.Sprintf("Content-Length: %d\r\n", bodyLimit), strings.Repeat("b", bodyLimit)))
	if len(got) != 1 || got[0] != "418 noRoom" {
		t.Errorf("answers: got %q, want only \"418 noRoom\"", got)
	}
	if got := e.exchange(t, post("Content-Length: 2\r\n", "bb")); len(got) != 1 || got[0] != "200 2" {
		t.Errorf("answers to a small request: got %q, want \"200 2\"", got)
	}
	awaitEmpty(t, e.account)
}

// TestKeptConnection guards against memory that requests on one connection add up.
func TestKeptConnection(t *testing.T) {
	e := newEndpoint(t, accountant.Shares{Requests: 4 * bodyLimit, Inbound: 4}, testTimeout)
	c, err := net.Dial("tcp", e.address)
	if err != nil {
		t.Fatal(err)
	}
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	reader := bufio.NewReader(c)
	for range 20 {
		_, _ = io.WriteString(c, post(fmt.Sprintf("Content-Length: %d\r\n", bodyLimit), strings.Repeat("b", bodyLimit)))
		response, err := http.ReadResponse(reader, nil)
		if err != nil || response.StatusCode != http.StatusOK {
			t.Fatalf("answer: got %v, %v, want status 200", response, err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
	}
	_ = c.Close()
	awaitEmpty(t, e.account)
}

// TestIdleConnectionGivesWay guards against a full host that refuses the next caller.
func TestIdleConnectionGivesWay(t *testing.T) {
	e := newEndpoint(t, accountant.Shares{Requests: 1 << 20, Inbound: 2}, testTimeout)
	idle := make([]net.Conn, 2)
	for i := range idle {
		c, err := net.Dial("tcp", e.address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		idle[i] = c
	}
	if got := e.exchange(t, post("Content-Length: 2\r\n", "bb")); len(got) != 1 || got[0] != "200 2" {
		t.Errorf("answers: got %q, want \"200 2\"", got)
	}
	_ = idle[0].SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := idle[0].Read(make([]byte, 1)); err == nil {
		t.Error("the connection that was idle for longest: got a byte, want its end")
	}
}

// TestUnreadAnswerGivesWay guards against callers that keep others out by not reading their answers.
func TestUnreadAnswerGivesWay(t *testing.T) {
	e := newEndpoint(t, accountant.Shares{Requests: 1 << 20, Inbound: 1}, testTimeout)
	c, err := net.Dial("tcp", e.address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, "GET /large HTTP/1.1\r\nHost: h\r\n\r\n")
	if _, err := c.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	var got []string
	for end := time.Now().Add(testTimeout); len(got) == 0 && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		got = e.exchange(t, post("Content-Length: 2\r\n", "bb"))
	}
	if len(got) != 1 || got[0] != "200 2" {
		t.Errorf("answers to another caller: got %q, want \"200 2\"", got)
	}
}

// TestAnswerKeepsConnection guards against a connection that is closed to make room, or forgotten by a planned stop, between the
// end of its handler and the sending of its answer.
func TestAnswerKeepsConnection(t *testing.T) {
	writing, released := make(chan struct{}, 4), make(chan struct{})
	e := newEndpointBehind(t, accountant.Shares{Requests: 1 << 20, Inbound: 1}, testTimeout, func(c net.Conn) net.Conn {
		return &heldConn{Conn: c, writing: writing, released: released}
	})
	kept, err := net.Dial("tcp", e.address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = kept.Close() }()
	_ = kept.SetDeadline(time.Now().Add(testTimeout))
	_, _ = io.WriteString(kept, post("Content-Length: 2\r\n", "bb"))
	<-writing // an answer of a few bytes is written once the handler has returned
	if got := e.account.Answering(); got != 1 {
		t.Errorf("connections with an answer that has not been sent: got %d, want 1", got)
	}
	another, err := net.Dial("tcp", e.address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = another.Close() }()
	_ = another.SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := another.Read(make([]byte, 1)); err == nil {
		t.Error("another connection without room: got a byte, want its end")
	}
	close(released)
	response, err := http.ReadResponse(bufio.NewReader(kept), nil)
	if err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("answer on the connection that was kept: got %v, %v; want status 200", response, err)
	}
	for end := time.Now().Add(testTimeout); e.account.Answering() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("connections with an answer that has not been sent: got 1 after it was read, want none")
		}
	}
}

// TestArrivedRequestKeepsConnection guards against closing a connection as the one that has been idle for longest although its
// next request has arrived.
func TestArrivedRequestKeepsConnection(t *testing.T) {
	reading := make(chan struct{})
	e := newEndpointBehind(t, accountant.Shares{Requests: 1 << 20, Inbound: 2}, testTimeout, func(c net.Conn) net.Conn {
		return &unreadConn{TCPConn: c.(*net.TCPConn), reading: reading}
	})
	var clients [2]net.Conn
	for i := range clients {
		c, err := net.Dial("tcp", e.address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		_ = c.SetDeadline(time.Now().Add(testTimeout))
		for end := time.Now().Add(testTimeout); e.account.Connections() <= i && time.Now().Before(end); time.Sleep(time.Millisecond) {
		}
		clients[i] = c
	}
	_, _ = io.WriteString(clients[0], post("Content-Length: 2\r\n", "bb"))
	third, err := net.Dial("tcp", e.address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = third.Close() }()
	if _, err := clients[1].Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the other idle connection: got %v, want its end", err)
	}
	close(reading)
	response, err := http.ReadResponse(bufio.NewReader(clients[0]), nil)
	if err != nil || response.StatusCode != http.StatusOK {
		t.Errorf("answer on the connection with a request: got %v, %v; want status 200", response, err)
	}
}

// unreadConn reads nothing until reading is closed.
type unreadConn struct {
	*net.TCPConn

	reading chan struct{}
}

func (c *unreadConn) Read(data []byte) (int, error) {
	<-c.reading
	return c.TCPConn.Read(data)
}
