package dispatcher

import (
	"bufio"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

var (
	errWithheld = errors.New("request withheld before its first byte")
	errTooLarge = errors.New("answer exceeds the size limit")
)

// headerAllowance is how many bytes an answer may have beyond the limit of its body.
const headerAllowance = 64 << 10

// longAgo is a deadline that makes every read and write fail at once.
var longAgo = time.Unix(1, 0)

// conn is one connection to a backend server; it carries one request at a time.
type conn struct {
	net.Conn
	remote string // address of the server
	reader *bufio.Reader
	writer *bufio.Writer
	reused bool // carried a request before, or was opened ahead of need

	idleFor   time.Duration // how long the server keeps it open while idle, zero for unknown
	idleSince time.Time

	permit    func() bool
	written   int
	read      int
	allowance int // bytes that may be read in the current exchange

	mu          sync.Mutex
	interrupted bool
	shutting    bool
}

func newConn(socket net.Conn) *conn {
	c := &conn{Conn: socket, remote: socket.RemoteAddr().String()}
	c.reader = bufio.NewReaderSize(c, 8<<10)
	c.writer = bufio.NewWriterSize(c, 8<<10)
	return c
}

// begin prepares the connection for one request.
func (c *conn) begin(permit func() bool, allowance int) {
	c.permit, c.written, c.read, c.allowance = permit, 0, 0, allowance
	c.writer.Reset(c)
	c.mu.Lock()
	c.interrupted = false
	c.mu.Unlock()
}

// Write asks for permission before the first byte of a request.
func (c *conn) Write(data []byte) (int, error) {
	if c.written == 0 && c.permit != nil && !c.permit() {
		return 0, errWithheld
	}
	n, err := c.Conn.Write(data)
	c.written += n
	return n, err
}

// Read fails once the answer is larger than allowed.
func (c *conn) Read(data []byte) (int, error) {
	if c.read >= c.allowance {
		return 0, errTooLarge
	}
	n, err := c.Conn.Read(data)
	c.read += n
	return n, err
}

// interrupt makes the current and all later reads and writes of the exchange fail.
func (c *conn) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupted = true
	if !c.shutting {
		_ = c.SetDeadline(longAgo)
	}
}

// expect sets the time until which the next byte has to arrive, unless the exchange was interrupted.
func (c *conn) expect(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.interrupted {
		return nil
	}
	return c.SetReadDeadline(deadline)
}

// reusable returns whether an idle connection is open and has no unread bytes, which would be a late answer.
func (c *conn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if c.idleFor > 0 && time.Since(c.idleSince) >= c.idleFor {
		return false
	}
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var next [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = peekErr == syscall.EAGAIN || peekErr == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && open
}

// shut closes the connection after the server has closed its side or the time is over.
func (c *conn) shut(linger time.Duration) {
	// An interruption that arrives late must not cut the wait short.
	c.mu.Lock()
	c.shutting = true
	err := c.SetDeadline(time.Now().Add(linger))
	c.mu.Unlock()
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok && err == nil && half.CloseWrite() == nil {
		_, _ = io.Copy(io.Discard, c.Conn)
	}
	_ = c.Close()
}
