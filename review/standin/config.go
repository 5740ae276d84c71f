package main

import (
	"fmt"
	"sync"
	"time"
)

const configBound = 3000 * time.Millisecond

// runConfig adds a route in each of eight rounds, until one shows that the rule is broken. With trouble, the first machine of zone kv-a is partitioned from the
// store just before each. Every ready machine gets a few test requests for the route that was added last.
func runConfig(s *system, trouble bool) (bool, error) {
	if err := startSite(s, 4); err != nil { // with the spare machine of kv-a
		return false, err
	}
	first := s.machines[0]
	var mu sync.Mutex
	var acked time.Time
	path := ""
	late := 0
	stop := make(chan struct{})
	var tests sync.WaitGroup
	for i, m := range s.machines {
		tests.Go(func() {
			c := s.newClient(m.zone)
			time.Sleep(time.Duration(i) * 61 * time.Millisecond)
			for {
				select {
				case <-stop:
					return
				case <-time.After(500 * time.Millisecond):
				}
				mu.Lock()
				target, ack := path, acked
				mu.Unlock()
				if target == "" {
					continue
				}
				id, sent := newID(), time.Now()
				status, _ := c.attempt(m.entry(), id, "GET", target+id, time.Second, nil)
				after := sent.Sub(ack)
				if status != 404 || after <= configBound || trouble && m == first {
					continue
				}
				mu.Lock()
				late++
				mu.Unlock()
				s.record.say("%s, sent to %s %.2f s after the ack, is answered 404", id, m.name, after.Seconds())
			}
		})
	}
	for round := 1; round <= 8; round++ {
		first.link.awaitPoll()
		if trouble {
			s.record.say("round %d: %s is partitioned from the store, for 5.5 s", round, first.name)
			first.link.setCut(true)
		}
		prefix := fmt.Sprintf("/added%d/", round)
		s.routes = append(s.routes, map[string]any{
			"name": fmt.Sprintf("r-added%d", round), "host": hostName, "path_prefix": prefix, "type": "idempotent",
			"timeout_ms": 5000, "target_latency_ms": 500, "priority": 2, "service": "archive", "max_attempts": 2,
		})
		s.configure()
		at := time.Now()
		mu.Lock()
		path, acked = prefix, at
		mu.Unlock()
		s.record.say("round %d: the store has acknowledged the version with route %s", round, prefix)
		time.Sleep(time.Until(at.Add(5500 * time.Millisecond)))
		first.link.setCut(false)
		mu.Lock()
		shown := late > 0
		mu.Unlock()
		if shown {
			break
		}
		time.Sleep(4500 * time.Millisecond)
	}
	close(stop)
	tests.Wait()
	mu.Lock()
	defer mu.Unlock()
	s.record.say("404 for a route over %v after its ack, from machines in touch: %d", configBound, late)
	return late > 0, nil
}
