package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["refused"] = playRefused }

const (
	refusedClients = 8
	// refusedLength is within the length of the shortest srv_grey of the site files.
	refusedLength = 5 * time.Second
	// refusedServers is the number of servers, of which one fails: 0.11, the least share of the site files.
	refusedServers = 9
	// failOf of failEvery requests fail at that server: 0.4, as fleetbench kinds states for srv_grey.
	failOf, failEvery = 2, 5
)

// playRefused sends requests that must not run twice while one of the servers of their service fails a share of what it has run with
// status 503. Such a failure does not state that the request was not run.
func playRefused(e *environment) (broken bool, err error) {
	s, ran := newStore(), &runs{}
	storeAddress := e.network.at(250, 8102)
	if err := s.serve(storeAddress); err != nil {
		return false, err
	}
	for k := range refusedServers {
		b := &backend{
			service: "intake", id: fmt.Sprintf("i-%d", k), address: e.network.at(100+k, 8080), zone: "a", slots: 4,
			work: 20 * time.Millisecond, runs: ran,
		}
		if e.trouble && k == 0 {
			b.fails = func(number int64) (int, bool) { return 503, number%failEvery < failOf }
		}
		if err := b.start(s); err != nil {
			return false, err
		}
	}
	configure(s, 7, []string{"intake"}, route{
		"name": "reports", "host": "h.example", "path_prefix": "/reports/", "type": "non_idempotent", "service": "intake",
		"timeout_ms": 3000, "target_latency_ms": 400, "priority": 1, "max_attempts": 2,
	})
	h, err := startHost(e.network, e.folder, 1, "a", smallMachine, storeAddress)
	if err != nil {
		return false, err
	}
	defer h.kill()
	if err := h.ready(15 * time.Second); err != nil {
		return false, err
	}
	var mu sync.Mutex
	var made []attempt
	var clients sync.WaitGroup
	end := time.Now().Add(refusedLength)
	for client := range refusedClients {
		clients.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				body := fmt.Sprintf("report %d of client %d", i, client)
				for range 2 { // clients retry such requests after a promise only
					each := sendOnce(h.entry, "POST", "/reports/new", body, 3*time.Second)
					mu.Lock()
					made = append(made, each)
					mu.Unlock()
					if each.status != 429 && each.status != 503 {
						break
					}
				}
			}
		})
	}
	clients.Wait()
	byID, refused := ran.byID(), 0
	applied := map[string]int{}
	for _, each := range made {
		applied[each.body] += len(byID[each.id])
		if (each.status == 429 || each.status == 503) && len(byID[each.id]) > 0 {
			refused++
			e.at(each.sent, "POST /reports/new, id %s, body %q, got %d with stamp %q, and ran at %s", each.id, each.body, each.status,
				each.stamp, byID[each.id][0].instance)
		}
	}
	twice := 0
	for _, count := range applied {
		if count > 1 {
			twice++
		}
	}
	e.printf("of %d attempts for %d reports, %d got 429 or 503 and had run (REFUSED); %d reports were applied twice because their clients believed it",
		len(made), len(applied), refused, twice)
	return refused > 0, nil
}
