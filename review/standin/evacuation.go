package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	evacuateBound = 5000 * time.Millisecond
	shardCount    = 20
)

// startSmallSite starts a system like zk-search: 3, 2 and 2 machines in three zones, 20 shards with a backend in each of
// two zones, and a service with three backends in each zone.
func startSmallSite(s *system) error { return startSite(s, 3) }

// startSite is startSmallSite with another number of machines in the first zone.
func startSite(s *system, first int) error {
	var fanout []string
	for i := range shardCount {
		name := fmt.Sprintf("shard%02d", i)
		fanout = append(fanout, name)
		for _, zone := range s.zones[:2] {
			if _, err := s.newBackend(name, zone, 2, 5*time.Millisecond); err != nil {
				return err
			}
		}
	}
	for range 3 {
		for _, zone := range s.zones {
			if _, err := s.newBackend("archive", zone, 3, 40*time.Millisecond); err != nil {
				return err
			}
		}
	}
	s.services = append(append([]string(nil), fanout...), "archive")
	s.routes = []map[string]any{
		{
			"name": "r-all", "host": hostName, "path_prefix": "/all/", "type": "idempotent", "timeout_ms": 1200,
			"target_latency_ms": 120, "priority": 1, "fanout": fanout, "max_attempts": 2, "top_k": 10, "min_coverage": 0.89,
		},
		{
			"name": "r-one", "host": hostName, "path_prefix": "/one/", "type": "idempotent", "timeout_ms": 5000,
			"target_latency_ms": 500, "priority": 2, "service": "archive", "max_attempts": 2,
		},
	}
	s.configure()
	for i, zone := range s.zones {
		count := 2
		if i == 0 {
			count = first
		}
		for number := 1; number <= count; number++ {
			if _, err := s.addMachine(zone, number); err != nil {
				return err
			}
		}
	}
	for _, m := range s.machines {
		if err := s.start(m, "entry"); err != nil {
			return err
		}
		if s.resolverOf(m.zone) == m {
			if err := s.start(m, "resolver"); err != nil {
				return err
			}
		}
	}
	if err := s.awaitReady(); err != nil {
		return err
	}
	time.Sleep(6 * time.Second) // the hosts find each other and choose their relays
	return nil
}

// runEvacuation evacuates zone kv-a while the first machine of the zone ends by a planned stop. With trouble, the second one
// has been partitioned from the store just before.
func runEvacuation(s *system, trouble bool) (bool, error) {
	if err := startSmallSite(s); err != nil {
		return false, err
	}
	first, second := s.machines[0], s.machines[1]

	var mu sync.Mutex
	entryOf := map[string]string{} // entry address by attempt id
	var acked time.Time
	late, reached := 0, map[string]int{}
	s.record.onArrival = func(id string, at *backend) {
		mu.Lock()
		defer mu.Unlock()
		if acked.IsZero() || at.zone != "kv-a" || time.Since(acked) <= evacuateBound {
			return
		}
		name := "another"
		for _, m := range s.machines {
			if m.entry() == entryOf[id] {
				name = m.name
			}
		}
		reached[name]++
		// The stopped machine and the partitioned one are not in touch; all others are.
		if name == first.name || trouble && name == second.name {
			return
		}
		late++
		if late <= 3 {
			s.record.say("%s, sent through %s, reaches %s in kv-a %.1f s after the ack", id, name, at.id, time.Since(acked).Seconds())
		}
	}

	stop := make(chan struct{})
	var senders sync.WaitGroup
	served := map[int]int{}
	send := func(c *client, path string, deadline, pause time.Duration) {
		for {
			select {
			case <-stop:
				return
			case <-time.After(pause):
			}
			if c.resolve() != nil {
				continue
			}
			failed := map[string]bool{}
			for range 2 { // one retry, at another address
				entry := ""
				for _, address := range c.addresses {
					if !failed[address] {
						entry = address
					}
				}
				if entry == "" {
					break
				}
				id := newID()
				mu.Lock()
				entryOf[id] = entry
				mu.Unlock()
				status, err := c.attempt(entry, id, "GET", path+id, deadline, nil)
				mu.Lock()
				served[status]++
				mu.Unlock()
				if err == nil && status == 200 {
					break
				}
				failed[entry] = true
			}
			c.addresses = append(c.addresses[1:], c.addresses[0])
		}
	}
	for _, zone := range s.zones {
		for range 3 {
			senders.Go(func() { send(s.newClient(zone), "/all/", 1200*time.Millisecond, 150*time.Millisecond) })
			senders.Go(func() { send(s.newClient(zone), "/one/", 5*time.Second, 150*time.Millisecond) })
		}
	}
	time.Sleep(4 * time.Second)

	// A planned stop takes four seconds here, in which the first machine still serves the others.
	if err := first.terminate(); err != nil {
		return false, err
	}
	s.record.say("%s gets SIGTERM and does not come back", first.name)
	time.Sleep(3100 * time.Millisecond)
	if trouble {
		s.record.say("%s is partitioned from the store, for 5.5 s", second.name)
		second.link.setCut(true)
		time.AfterFunc(5500*time.Millisecond, func() {
			second.link.setCut(false)
			s.record.say("the partition has healed")
		})
	}
	time.Sleep(300 * time.Millisecond)
	s.store.put("evacuations", "kv-a", map[string]any{})
	mu.Lock()
	acked = time.Now()
	mu.Unlock()
	s.record.say("the store has acknowledged the evacuation of kv-a")
	time.Sleep(20*time.Second - time.Since(acked))
	close(stop)
	senders.Wait()
	mu.Lock()
	defer mu.Unlock()
	s.record.say("answers by status (0: none): %v", served)
	s.record.say("requests that reached kv-a over %v after the ack, by the machine that took them: %v", evacuateBound, reached)
	return late > 0, nil
}
