package dispatcher

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/state/indexer"
	"github.com/yuccarock/yuccarock/pkg/configurator"
)

// endlessServer accepts connections, waits for a request on each, writes start and then repeats chunk with a pause until
// the other side closes.
func endlessServer(t *testing.T, start, chunk []byte, pause time.Duration) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var conns sync.WaitGroup
	t.Cleanup(func() {
		_ = listener.Close()
		conns.Wait()
	})
	conns.Go(func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			conns.Go(func() {
				defer func() { _ = c.Close() }()
				_ = c.SetDeadline(time.Now().Add(20 * time.Second))
				if _, err := c.Read(make([]byte, 4096)); err != nil {
					return
				}
				for data := start; ; data = chunk {
					if _, err := c.Write(data); err != nil {
						return
					}
					time.Sleep(pause)
				}
			})
		}
	})
	return netip.MustParseAddrPort(listener.Addr().String())
}

// countingConn counts the bytes that are read from a connection.
type countingConn struct {
	*net.TCPConn
	read *atomic.Int64
}

func (c countingConn) Read(data []byte) (int, error) {
	n, err := c.TCPConn.Read(data)
	c.read.Add(int64(n))
	return n, err
}

// TestEndlessAnswers guards against servers that fill the memory of a host, keep it busy or hold a request beyond its
// deadline with bytes that are no answer and come without end. The load is 16 such servers at once.
func TestEndlessAnswers(t *testing.T) {
	const servers, deadline = 16, 2 * time.Second
	filler := bytes.Repeat([]byte("x"), 16<<10)
	options := DefaultOptions()
	tests := []struct {
		name         string
		start, chunk []byte
		pause        time.Duration
		wantRead     int64 // bytes of all servers, at most
		wantAnswer   bool
	}{
		{name: "no head", chunk: filler, wantRead: servers * (maxHeaderBytes + maxDrainBytes + 64<<10)},
		{name: "head line after line", start: []byte("HTTP/1.1 200 OK\r\n"), chunk: []byte("A: b\r\n"),
			wantRead: servers * (maxHeaderBytes + maxDrainBytes + 64<<10)},
		{name: "head in drips", start: []byte("HTTP/1.1 200 OK\r\n"), chunk: []byte("A: b\r\n"), pause: 5 * time.Millisecond,
			wantRead: servers * (maxHeaderBytes + maxDrainBytes + 64<<10)},
		{name: "informational answers", chunk: []byte("HTTP/1.1 102 Processing\r\n\r\n"),
			wantRead: servers * (maxHeaderBytes + maxDrainBytes + 64<<10)},
		{name: "body without a length", start: []byte("HTTP/1.1 200 OK\r\n\r\n"), chunk: filler,
			wantRead: servers * (int64(options.MaxAnswerBytes) + maxHeaderBytes + maxDrainBytes + 64<<10)},
		{name: "body in chunks", start: []byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"),
			chunk:    append(append([]byte("4000\r\n"), filler...), "\r\n"...),
			wantRead: servers * (int64(options.MaxAnswerBytes) + maxHeaderBytes + maxDrainBytes + 64<<10)},
		{name: "after a whole answer", start: []byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), chunk: filler,
			wantRead: servers * (maxHeaderBytes + maxDrainBytes + 64<<10), wantAnswer: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var read atomic.Int64
			options := DefaultOptions()
			options.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				c, err := (&net.Dialer{}).DialContext(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return countingConn{c.(*net.TCPConn), &read}, nil
			}
			d := New(options, metrics.NewSet())
			config := &configurator.Config{}
			for i := range servers {
				config.Servers = append(config.Servers, configurator.Server{
					Name: strconv.Itoa(i), Address: endlessServer(t, tt.start, tt.chunk, tt.pause), Connections: 4,
				})
			}
			d.SetTable(indexer.New(1, config))
			ctx, cancel := context.WithTimeout(t.Context(), deadline)
			defer cancel()
			started := time.Now()
			peak := watchPeak(t, &d.budget.used)
			var exchanges sync.WaitGroup
			for i := range servers {
				exchanges.Go(func() {
					reply := d.Exchange(ctx, broker.ServerName(strconv.Itoa(i)), &broker.ServerRequest{
						Method: http.MethodGet, Head: func() []byte { return []byte("GET /x HTTP/1.1\r\nHost: h\r\n\r\n") },
					})
					if got := reply.Answer != nil; got != tt.wantAnswer || !reply.Sent {
						t.Errorf("got an answer: %v, sent %v, reason %s, error %v; want %v, true",
							got, reply.Sent, reply.Reason, reply.Err, tt.wantAnswer)
					}
				})
			}
			exchanges.Wait()
			if got, want := time.Since(started), deadline+time.Second; got > want {
				t.Errorf("time of the exchanges: got %s, want at most %s", got, want)
			}
			for end := time.Now().Add(5 * time.Second); d.openConnections(servers) > 0; time.Sleep(5 * time.Millisecond) {
				if time.Now().After(end) {
					t.Fatalf("connections that stay open: got %d, want none", d.openConnections(servers))
				}
			}
			if got := read.Load(); got > tt.wantRead {
				t.Errorf("bytes read from %d servers: got %d, want at most %d", servers, got, tt.wantRead)
			}
			if got, want := peak(), options.MaxBufferedBytes; got > want {
				t.Errorf("bytes buffered at once: got %d, want at most %d", got, want)
			}
			if got := d.budget.used.Load(); got != 0 {
				t.Errorf("bytes that count as buffered afterwards: got %d, want 0", got)
			}
		})
	}
}

// watchPeak samples a value until the returned function is called, which returns the highest sample.
func watchPeak(t *testing.T, value *atomic.Int64) func() int64 {
	t.Helper()
	var peak int64
	var watcher sync.WaitGroup
	stop := make(chan struct{})
	watcher.Go(func() {
		ticker := time.NewTicker(500 * time.Microsecond)
		defer ticker.Stop()
		for {
			peak = max(peak, value.Load())
			select {
			case <-ticker.C:
			case <-stop:
				return
			}
		}
	})
	return func() int64 {
		close(stop)
		watcher.Wait()
		return peak
	}
}

// openConnections returns the number of connections to all servers, which are named by number.
func (d *Dispatcher) openConnections(servers int) int {
	sum := 0
	for i := range servers {
		sum += d.Connections(broker.ServerName(strconv.Itoa(i)))
	}
	return sum
}
