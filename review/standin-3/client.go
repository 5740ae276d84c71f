package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// attempt is one client attempt and what its client saw.
type attempt struct {
	id            string
	method, path  string
	body          string
	sent          time.Time
	ended         time.Time
	onKept        bool // the connection had carried other requests
	status        int  // zero without a complete answer
	stamp         string
	parts         string
	answer        string
	err           error
	bytesReceived int // of an answer that is not complete
}

// connection is one client connection.
type connection struct {
	net.Conn

	reader *bufio.Reader
	used   bool
	got    int
}

func (c *connection) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.got += n
	return n, err
}

// dial opens a connection; clients allow a second for that.
func dial(address string) (*connection, error) {
	socket, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	c := &connection{Conn: socket}
	c.reader = bufio.NewReader(c)
	return c, nil
}

// send makes one attempt on the connection; reusable is whether the connection may carry another.
func (c *connection) send(method, path, body string, patience time.Duration) (made attempt, reusable bool) {
	made = attempt{id: newID(), method: method, path: path, body: body, onKept: c.used}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, path, made.id,
		patience.Milliseconds())
	if body != "" {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	c.used, c.got, made.sent = true, 0, time.Now()
	_ = c.SetDeadline(made.sent.Add(patience))
	defer func() { made.ended = time.Now() }()
	if _, made.err = io.WriteString(c.Conn, head+"\r\n"+body); made.err != nil {
		return made, false
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		made.err, made.bytesReceived = err, c.got
		return made, false
	}
	data, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil {
		made.err, made.bytesReceived = err, c.got
		return made, false
	}
	made.status, made.answer = response.StatusCode, string(data)
	made.stamp, made.parts = response.Header.Get("X-Server-Stamp"), response.Header.Get("X-Part-Stamps")
	return made, !response.Close
}

// sendOnce makes one attempt on a new connection.
func sendOnce(address, method, path, body string, patience time.Duration) attempt {
	c, err := dial(address)
	if err != nil {
		return attempt{id: newID(), method: method, path: path, sent: time.Now(), ended: time.Now(), err: err}
	}
	defer func() { _ = c.Close() }()
	made, _ := c.send(method, path, body, patience)
	return made
}
