package main

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const drainBound = 3000 * time.Millisecond

// slowBody is a request body that arrives at an even rate within a time.
type slowBody struct {
	left  int
	pause time.Duration // between two pieces
}

const bodyPiece = 4 << 10

// Read returns the next piece.
func (b *slowBody) Read(data []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	time.Sleep(b.pause)
	n := min(b.left, bodyPiece, len(data))
	clear(data[:n])
	b.left -= n
	return n, nil
}

// runDrain sends 36 reports with bodies of 160 KiB, which take 3.2 s on the way from the client. With trouble, one of nine
// backends reports that it is draining just after they have begun, and ends a little later than drain_ms after that.
func runDrain(s *system, trouble bool) (bool, error) {
	for range 3 {
		for _, zone := range s.zones {
			if _, err := s.newBackend("intake", zone, 3, 300*time.Millisecond); err != nil {
				return false, err
			}
		}
	}
	s.services = []string{"intake"}
	s.routes = []map[string]any{{
		"name": "r-report", "host": hostName, "path_prefix": "/report/", "type": "non_idempotent", "timeout_ms": 5000,
		"target_latency_ms": 400, "priority": 2, "service": "intake", "max_attempts": 2,
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
	time.Sleep(4 * time.Second)

	leaving := s.backends[0]
	var mu sync.Mutex
	var acked time.Time
	late := map[string]time.Duration{}
	s.record.onArrival = func(id string, at *backend) {
		mu.Lock()
		defer mu.Unlock()
		if at != leaving || acked.IsZero() {
			return
		}
		if after := time.Since(acked); after > drainBound {
			late[id] = after
			s.record.say("%s reaches the draining backend %s %.2f s after the ack", id, at.id, after.Seconds())
		}
	}
	var clients sync.WaitGroup
	statuses := map[string]int{}
	const pieces = 40
	for i := range 36 {
		clients.Go(func() {
			c := s.newClient(s.zones[i%len(s.zones)])
			if c.resolve() != nil {
				return
			}
			time.Sleep(time.Duration(i) * 3 * time.Millisecond)
			id := newID()
			status, err := c.attempt(c.addresses[i%len(c.addresses)], id, "POST", "/report/"+id, 5*time.Second,
				&slowBody{left: pieces * bodyPiece, pause: 3200 * time.Millisecond / pieces})
			mu.Lock()
			defer mu.Unlock()
			statuses[fmt.Sprint(status)]++
			if err != nil {
				statuses["none"]++
			}
			if _, ok := late[id]; ok {
				s.record.say("%s was answered %d (error: %v)", id, status, err)
			}
		})
	}
	time.Sleep(150 * time.Millisecond)
	if trouble {
		at := leaving.drain()
		mu.Lock()
		acked = at
		mu.Unlock()
		s.record.say("the store has acknowledged that %s is draining", leaving.id)
		time.Sleep(time.Until(at.Add(drainBound + 400*time.Millisecond)))
		leaving.exit()
		s.record.say("%s has ended", leaving.id)
	}
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	s.record.say("answers by status: %v; requests that reached the draining backend late: %d", statuses, len(late))
	return len(late) > 0, nil
}
