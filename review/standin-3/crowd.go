package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// crowdBody is a body of legal size, which is sent whole.
var crowdBody = strings.Repeat("x", 20000)

func init() { cases["crowd"] = playCrowd }

const (
	// keptClients is the number of clients that keep a connection. One host of this size takes 994 connections of callers.
	keptClients = 994
	// newcomers is the number of clients that open a connection for each request.
	newcomers = 400
	// newcomerPause is the pause of a newcomer between two attempts.
	newcomerPause = 20 * time.Millisecond
	crowdLength   = 70 * time.Second
	crowdBurstAt  = 6 * time.Second
	// fetchDeadline is the deadline of the slowest kind of request on the pages.
	fetchDeadline = 6 * time.Second
	// toleratedLost is the number of requests that the rule allows to be lost.
	toleratedLost = 3
)

// playCrowd plays a crowd of clients that send whole bodies: as many as a host has room for keep their connections and always have a
// request in progress, and others open connections meanwhile.
func playCrowd(e *environment) (broken bool, err error) {
	s, ran := newStore(), &runs{}
	storeAddress := e.network.at(250, 8102)
	if err := s.serve(storeAddress); err != nil {
		return false, err
	}
	for i := range 5 {
		b := &backend{
			service: "archive", id: fmt.Sprintf("i-%d", i), address: e.network.at(100+i, 8080), zone: "a", slots: 2,
			work: 20 * time.Millisecond, runs: ran,
		}
		if err := b.start(s); err != nil {
			return false, err
		}
	}
	configure(s, 7, []string{"archive"}, route{
		"name": "r-fetch", "host": "h.example", "path_prefix": "/fetch/", "type": "idempotent", "service": "archive",
		"timeout_ms": 6000, "target_latency_ms": 400, "priority": 2, "max_attempts": 2,
	})
	h, err := startHost(e.network, e.folder, 1, "a", smallMachine, storeAddress)
	if err != nil {
		return false, err
	}
	defer h.kill()
	if err := h.ready(15 * time.Second); err != nil {
		return false, err
	}
	if made := sendOnce(h.entry, "GET", "/fetch/first", "", fetchDeadline); made.status != 200 {
		return false, fmt.Errorf("%w: the first request got %d, %w", errNotRun, made.status, made.err)
	}
	var mu sync.Mutex
	var kept, fresh []attempt
	end := time.Now().Add(crowdLength)
	var clients sync.WaitGroup
	for range keptClients {
		clients.Go(func() {
			var c *connection
			for time.Now().Before(end) {
				if c == nil {
					if c, _ = dial(h.entry); c == nil {
						time.Sleep(newcomerPause)
						continue
					}
				}
				made, reusable := c.send("POST", "/fetch/"+newID(), crowdBody, fetchDeadline)
				mu.Lock()
				kept = append(kept, made)
				mu.Unlock()
				if !reusable {
					_ = c.Close()
					c = nil
				}
				if made.status != 200 {
					time.Sleep(100 * time.Millisecond)
				}
			}
			if c != nil {
				_ = c.Close()
			}
		})
	}
	if e.trouble {
		time.Sleep(crowdBurstAt)
		e.printf("crowd: %d further clients, each on a new connection", newcomers)
		for range newcomers {
			clients.Go(func() {
				for time.Now().Before(end) {
					made := sendOnce(h.entry, "POST", "/fetch/"+newID(), crowdBody, fetchDeadline)
					mu.Lock()
					fresh = append(fresh, made)
					mu.Unlock()
					time.Sleep(newcomerPause)
				}
			})
		}
	}
	clients.Wait()
	time.Sleep(time.Second)
	if !h.running() {
		e.printf("the process has ended")
		return true, nil
	}
	lost := e.listLost(kept, ran)
	e.summarise("on kept connections", kept)
	e.summarise("on new connections", fresh)
	e.printf("lost: %d requests on kept connections that a backend server has answered, tolerated %d", lost, toleratedLost)
	return lost > toleratedLost, nil
}

// listLost counts the requests on kept connections that ended without an answer before their deadline though a backend server
// had sent a complete one.
func (e *environment) listLost(made []attempt, ran *runs) int {
	byID, lost := ran.byID(), 0
	for _, each := range made {
		if !each.onKept || each.status != 0 || each.ended.Sub(each.sent) >= fetchDeadline {
			continue
		}
		for _, at := range byID[each.id] {
			if at.ended {
				lost++
				e.at(each.ended, "lost: id %s sent at %.3f on a kept connection, ran at %s at %.3f and was answered there; the connection ended with %d bytes of an answer: %v",
					each.id, each.sent.Sub(e.started).Seconds(), at.instance, at.at.Sub(e.started).Seconds(), each.bytesReceived, each.err)
				break
			}
		}
	}
	return lost
}

// summarise records how many attempts ended with each status.
func (e *environment) summarise(which string, made []attempt) {
	counts := map[int]int{}
	for _, each := range made {
		counts[each.status]++
	}
	e.printf("attempts %s: %d, by status (0: connection closed or not opened): %s", which, len(made), encode(counts))
}
