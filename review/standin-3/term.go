package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["term"] = playTerm }

const (
	termClients = 8
	// termWork is how long a request takes at its server, less than the latency target of the slowest kind on the pages.
	termWork = 400 * time.Millisecond
	// termSecond is the time between the two signals.
	termSecond = time.Second
)

// playTerm stops a host while clients use it. With trouble, a second stop of the same machine begins before the first has ended.
func playTerm(e *environment) (broken bool, err error) {
	s, ran := newStore(), &runs{}
	storeAddress := e.network.at(250, 8102)
	if err := s.serve(storeAddress); err != nil {
		return false, err
	}
	for k := range 4 {
		b := &backend{
			service: "archive", id: fmt.Sprintf("i-%d", k), address: e.network.at(100+k, 8080), zone: "a", slots: 4, work: termWork, runs: ran,
		}
		if err := b.start(s); err != nil {
			return false, err
		}
	}
	configure(s, 7, []string{"archive"}, route{
		"name": "fetch", "host": "h.example", "path_prefix": "/fetch/", "type": "idempotent", "service": "archive",
		"timeout_ms": 5000, "target_latency_ms": 500, "priority": 1, "max_attempts": 2,
	})
	h, err := startHost(e.network, e.folder, 1, "a", smallMachine, storeAddress)
	if err != nil {
		return false, err
	}
	defer h.kill()
	if err := h.ready(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	var made []attempt
	var clients sync.WaitGroup
	// A client uses its connection until the process is gone, and stops before that if it is told to close it.
	for range termClients {
		clients.Go(func() {
			for h.running() {
				c, err := dial(h.entry)
				if err != nil {
					return
				}
				for reusable := true; reusable; {
					var each attempt
					each, reusable = c.send("GET", "/fetch/"+newID(), "", 5*time.Second)
					mu.Lock()
					made = append(made, each)
					mu.Unlock()
				}
				_ = c.Close()
			}
		})
	}
	time.Sleep(2 * time.Second)
	signalled := time.Now()
	e.printf("SIGTERM")
	h.signal(syscall.SIGTERM)
	if e.trouble {
		time.Sleep(termSecond)
		e.printf("SIGTERM of a second stop of the same machine")
		h.signal(syscall.SIGTERM)
	}
	select {
	case <-h.ended:
		e.printf("the process ended %.3f s after the first signal", time.Since(signalled).Seconds())
	case <-time.After(time.Until(signalled.Add(grace))):
		e.printf("SIGKILL at the end of the grace time")
		h.signal(syscall.SIGKILL)
		<-h.ended
	}
	clients.Wait()
	time.Sleep(termWork)
	byID, lost := ran.byID(), 0
	for _, each := range made {
		if each.status != 0 || len(byID[each.id]) == 0 {
			continue
		}
		lost++
		e.at(each.ended, "lost: GET on /fetch/, id %s, sent at %.3f, ran at %s; the connection ended with %d bytes of an answer: %v", each.id,
			each.sent.Sub(e.started).Seconds(), byID[each.id][0].instance, each.bytesReceived, each.err)
	}
	e.printf("of %d requests, %d had been passed on to a backend server and got no answer (LOST)", len(made), lost)
	return lost > 0, nil
}
