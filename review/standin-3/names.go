package main

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

func init() { cases["names"] = playNames }

const (
	// configTime is the time within which a configuration is in force, and a second more.
	configTime = 4 * time.Second
	// reportPause is the pause between two reports.
	reportPause = 100 * time.Millisecond
	reports     = 20
	// leastCoverage is the min_coverage of the searches.
	leastCoverage = 0.75
)

// playNames adds a route to the configuration while clients use another one. The name of the new route is that of the other
// route, a slash and the name of its service.
func playNames(e *environment) (broken bool, err error) {
	s, ran := newStore(), &runs{}
	storeAddress := e.network.at(250, 8102)
	if err := s.serve(storeAddress); err != nil {
		return false, err
	}
	services := []string{"intake", "shard-1", "shard-2", "shard-3", "shard-4"}
	for i, service := range services {
		for k := range 2 {
			b := &backend{
				service: service, id: fmt.Sprintf("i-%s-%d", service, k), address: e.network.at(100+2*i+k, 8080), zone: "a", slots: 4,
				work: 20 * time.Millisecond, runs: ran,
			}
			if err := b.start(s); err != nil {
				return false, err
			}
		}
	}
	reporting := route{
		"name": "reports", "host": "h.example", "path_prefix": "/reports/", "type": "non_idempotent", "service": "intake",
		"timeout_ms": 3000, "target_latency_ms": 400, "priority": 1, "max_attempts": 2,
	}
	added := "search-intake"
	if e.trouble {
		added = "reports/intake"
	}
	searching := route{
		"name": added, "host": "h.example", "path_prefix": "/search/", "type": "idempotent", "fanout": services[1:],
		"timeout_ms": 1500, "target_latency_ms": 100, "priority": 2, "max_attempts": 2, "top_k": 5, "min_coverage": leastCoverage,
	}
	configure(s, 7, services, reporting)
	var hosts []*hostProcess
	for i, zone := range []string{"a", "b", "c"} {
		h, err := startHost(e.network, e.folder, i+1, zone, smallMachine, storeAddress)
		if err != nil {
			return false, err
		}
		defer h.kill()
		hosts = append(hosts, h)
	}
	for _, h := range hosts {
		if err := h.ready(15 * time.Second); err != nil {
			return false, err
		}
	}
	before := e.sendReports(hosts)
	configure(s, 12, services, reporting, searching)
	e.printf("the store has acknowledged version 12, which adds the route %q; no other route has changed", added)
	time.Sleep(configTime)
	after := e.sendReports(hosts)
	found := e.sendSearches(hosts)
	configure(s, 14, services, searching, reporting)
	e.printf("the store has acknowledged version 14, which names the same routes in the other order")
	time.Sleep(configTime)
	found = append(found, e.sendSearches(hosts)...)
	broken = e.judgeReports("before the change", before, ran)+e.judgeReports("after the change", after, ran) > 0
	return e.judgeSearches(found, services[1:]) > 0 || broken, nil
}

// sendSearches sends requests for all shards to the hosts in turn.
func (e *environment) sendSearches(hosts []*hostProcess) []attempt {
	var made []attempt
	for i := range reports {
		made = append(made, sendOnce(hosts[i%len(hosts)].entry, "GET", "/search/"+newID(), "", 1500*time.Millisecond))
		time.Sleep(reportPause)
	}
	return made
}

// judgeSearches counts the successes that hold a receipt of a service that is no shard of the route, or those of fewer shards
// than its least coverage.
func (e *environment) judgeSearches(made []attempt, shards []string) (broken int) {
	for _, each := range made {
		if each.status != 200 {
			continue
		}
		parts, foreign := 0, false
		for _, stamp := range strings.Split(each.parts, ",") {
			if stamp = strings.TrimSpace(stamp); stamp == "" {
				continue
			}
			service, _, _ := strings.Cut(stamp, ".")
			foreign = foreign || !slices.Contains(shards, service)
			parts++
		}
		if foreign || float64(parts) < leastCoverage*float64(len(shards)) {
			broken++
			e.at(each.sent, "GET %s, id %s, got 200 with parts %q", each.path, each.id, each.parts)
		}
	}
	e.printf("of %d searches, %d got a success with a foreign part or too few of the %d shards (MIXED)", len(made), broken, len(shards))
	return broken
}

// sendReports sends requests that must not run twice to the hosts in turn.
func (e *environment) sendReports(hosts []*hostProcess) []attempt {
	var made []attempt
	for i := range reports {
		made = append(made, sendOnce(hosts[i%len(hosts)].entry, "POST", "/reports/new", fmt.Sprintf("report %d", i), 3*time.Second))
		time.Sleep(reportPause)
	}
	return made
}

// judgeReports counts the reports that ran at another service than their route allows, or more than once.
func (e *environment) judgeReports(when string, made []attempt, ran *runs) (broken int) {
	byID, elsewhere, twice, foreign := ran.byID(), 0, 0, 0
	for _, each := range made {
		list := byID[each.id]
		places := ""
		wrong := false
		for _, at := range list {
			places += " " + at.instance
			wrong = wrong || at.service != "intake"
		}
		if wrong {
			elsewhere++
		}
		if len(list) > 1 {
			twice++
		}
		if each.status == 200 && wrong {
			foreign++
		}
		if wrong || len(list) > 1 {
			broken++
			e.at(each.sent, "POST /reports/new, id %s, got %d with stamp %q; ran %d times:%s", each.id, each.status, each.stamp, len(list), places)
		}
	}
	e.printf("%s: of %d reports, %d ran at a service that their route does not name (ROUTE), %d ran more than once (TWICE), %d got a success from there",
		when, len(made), elsewhere, twice, foreign)
	return broken
}
