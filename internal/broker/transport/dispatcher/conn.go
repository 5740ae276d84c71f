package dispatcher

import (
	"bufio"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker/transport/peeker"
)

var (
	errNotPermitted  = errors.New("request not permitted")
	errInvalidStatus = errors.New("no valid HTTP status")
	errTooLarge      = errors.New("answer exceeds the size limit")
)

const (
	// maxHeaderBytes is the maximum size of the header of an answer, including informational answers before it.
	maxHeaderBytes = 64 << 10
	// receiveBuffer is the size of the operating system's buffer for received bytes of a connection. A process's memory
	// includes them, and a server that sends without end fills a buffer of any size.
	receiveBuffer = 64 << 10
	// maxDrainBytes is how many bytes are read from a connection that is being closed.
	maxDrainBytes = 64 << 10
)

// pastDeadline is a deadline in the past, with which every read and write fails at once.
var pastDeadline = time.Unix(1, 0)

// conn is one connection to a backend server; it carries one request at a time.
type conn struct {
	net.Conn
	remote string // address of the server
	reader *bufio.Reader
	writer *bufio.Writer
	reused bool // has carried a request, or was opened as an idle connection
	used   bool // has carried a request

	idleTimeout time.Duration // idle time after which the connection is not reused; zero for no limit
	idleSince   time.Time

	permit       func() bool
	bytesWritten int
	bytesRead    int
	readLimit    int      // maximum bytes to read in the current exchange
	head         *holding // memory of the head that is being read, or nil

	mu          sync.Mutex
	interrupted bool
	closing     bool
}

func newConn(socket net.Conn) *conn {
	if buffered, ok := socket.(interface{ SetReadBuffer(bytes int) error }); ok {
		_ = buffered.SetReadBuffer(receiveBuffer) // without it, only more bytes can be received and not read
	}
	c := &conn{Conn: socket, remote: socket.RemoteAddr().String()}
	c.reader = bufio.NewReaderSize(c, 8<<10)
	c.writer = bufio.NewWriterSize(c, 8<<10)
	return c
}

// startRequest resets the state of the connection for a new request, whose answer has at most maxHead bytes of head.
func (c *conn) startRequest(permit func() bool, maxHead int, held *holding) {
	c.permit, c.bytesWritten, c.bytesRead, c.readLimit, c.head = permit, 0, 0, maxHead, held
	c.writer.Reset(c)
	c.mu.Lock()
	c.interrupted = false
	c.mu.Unlock()
}

// startBody begins the reading of a body of at most maxBody bytes.
func (c *conn) startBody(maxBody int) {
	c.head = nil
	c.readLimit += maxBody
}

// Write calls permit before the first byte of a request and fails if permit returns false.
func (c *conn) Write(data []byte) (int, error) {
	if c.bytesWritten == 0 && c.permit != nil && !c.permit() {
		return 0, errNotPermitted
	}
	n, err := c.Conn.Write(data)
	c.bytesWritten += n
	return n, err
}

// Read fails once readLimit bytes of the answer have been read, or if there is no memory for a long head.
func (c *conn) Read(data []byte) (int, error) {
	if c.bytesRead >= c.readLimit {
		return 0, errTooLarge
	}
	if c.head != nil {
		data = data[:min(len(data), headReadSize)]
		if c.bytesRead >= headReadSize {
			if err := c.head.add(headFactor * int64(len(data))); err != nil {
				return 0, err
			}
		}
	}
	n, err := c.Conn.Read(data)
	c.bytesRead += n
	return n, err
}

// interrupt makes current and later reads and writes of the exchange fail.
func (c *conn) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupted = true
	if !c.closing {
		_ = c.SetDeadline(pastDeadline)
	}
}

// setAnswerDeadline sets the read deadline, unless the exchange was interrupted.
func (c *conn) setAnswerDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.interrupted {
		return nil
	}
	return c.SetReadDeadline(deadline)
}

// reusable reports whether an idle connection is still open and has no unread bytes. Unread bytes would be the late
// answer to an earlier request.
func (c *conn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if c.idleTimeout > 0 && time.Since(c.idleSince) >= c.idleTimeout {
		return false
	}
	if _, ok := c.Conn.(syscall.Conn); !ok {
		return true
	}
	return peeker.Peek(c.Conn) == peeker.Quiet
}

// closeGracefully sends a FIN and closes the connection once the server has closed its side, after the timeout, or after
// maxDrainBytes, because a faulty server may send without end.
func (c *conn) closeGracefully(timeout time.Duration) {
	// A concurrent interrupt must not replace this deadline and end the wait early.
	c.mu.Lock()
	c.closing = true
	err := c.SetDeadline(time.Now().Add(timeout))
	c.mu.Unlock()
	if writer, ok := c.Conn.(interface{ CloseWrite() error }); ok && err == nil && writer.CloseWrite() == nil {
		_, _ = io.CopyN(io.Discard, c.Conn, maxDrainBytes)
	}
	_ = c.Close()
}
