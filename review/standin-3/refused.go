package main

import (
	"fmt"
	"time"
)

func init() { cases["refused"] = playRefused }

const (
	orders = 40
	// failEvery is the inverse share of the requests that the servers fail: 0.4, as fleetbench kinds states for srv_grey.
	failOf, failEvery = 2, 5
)

// playRefused sends requests that must not run twice while the servers of their service fail a share of what they have run with
// status 503. Such a failure does not state that the request was not run.
func playRefused(e *environment) (broken bool, err error) {
	s, ran := newStore(), &runs{}
	storeAddress := e.network.at(250, 8102)
	if err := s.serve(storeAddress); err != nil {
		return false, err
	}
	for k := range 2 {
		b := &backend{
			service: "intake", id: fmt.Sprintf("i-%d", k), address: e.network.at(100+k, 8080), zone: "a", slots: 4,
			work: 20 * time.Millisecond, runs: ran,
		}
		if e.trouble {
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
	var made []attempt
	for i := range orders {
		body := fmt.Sprintf("report %d", i)
		for range 2 { // clients retry such requests after a promise only
			each := sendOnce(h.entry, "POST", "/reports/new", body, 3*time.Second)
			made = append(made, each)
			if each.status != 429 && each.status != 503 {
				break
			}
		}
	}
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
		len(made), orders, refused, twice)
	return refused > 0, nil
}
