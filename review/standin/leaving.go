package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// exchange sends one request on a connection of its own and reads what comes until the end of the connection. With leave
// set, the client closes its side 50 ms after the request. It returns nil if there is no answer.
func exchange(entry, id string, leave bool) (*http.Response, error) {
	conn, err := net.Dial("tcp", entry)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	_, err = fmt.Fprintf(conn, "POST /report/%s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 2000\r\n"+
		"Connection: close\r\nContent-Length: 0\r\n\r\n", id, hostName, id)
	if err != nil {
		return nil, err
	}
	if leave {
		time.Sleep(50 * time.Millisecond)
		if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
			return nil, err
		}
	}
	answer, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err == io.EOF || err == io.ErrUnexpectedEOF {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer func() { _ = answer.Body.Close() }()
	_, err = io.Copy(io.Discard, answer.Body)
	return answer, err
}

// runLeaving sends 30 reports. With trouble, every fifth client leaves 50 ms after its request: it closes its side of the
// connection and reads on until the other side is closed.
func runLeaving(s *system, trouble bool) (bool, error) {
	for _, zone := range s.zones[:2] {
		if _, err := s.newBackend("intake", zone, 4, 300*time.Millisecond); err != nil {
			return false, err
		}
	}
	s.services = []string{"intake"}
	s.routes = []map[string]any{{
		"name": "r-report", "host": hostName, "path_prefix": "/report/", "type": "non_idempotent", "timeout_ms": 2000,
		"target_latency_ms": 500, "priority": 2, "service": "intake", "max_attempts": 2,
	}}
	s.configure()
	for _, zone := range s.zones {
		m, err := s.addMachine(zone, 1)
		if err != nil {
			return false, err
		}
		if err := s.start(m, "entry"); err != nil {
			return false, err
		}
		if err := s.start(m, "resolver"); err != nil {
			return false, err
		}
	}
	if err := s.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	c := s.newClient(s.zones[0])
	if err := c.resolve(); err != nil {
		return false, err
	}
	var mu sync.Mutex
	var clients sync.WaitGroup
	unstamped, served, failed := 0, 0, 0
	for i := range 30 {
		time.Sleep(150 * time.Millisecond)
		clients.Go(func() {
			id, leave := newID(), trouble && i%5 == 0
			s.record.line("sent        %s, leaves: %v", id, leave)
			answer, err := exchange(c.addresses[i%len(c.addresses)], id, leave)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case answer == nil:
				s.record.line("no answer   %s: %v", id, err)
				failed++
			case answer.StatusCode/100 == 2 && answer.Header.Get("X-Server-Stamp") == "":
				s.record.say("%s got %s with %d bytes and without X-Server-Stamp", id, answer.Status, max(answer.ContentLength, 0))
				unstamped++
			default:
				s.record.line("answered    %s %d stamp=%q", id, answer.StatusCode, answer.Header.Get("X-Server-Stamp"))
				served++
			}
		})
	}
	clients.Wait()
	s.record.say("successes without a stamp: %d; other answers: %d; none: %d", unstamped, served, failed)
	return unstamped > 0, nil
}
