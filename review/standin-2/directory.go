package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"
)

// lookUp is one answer of the directory.
type lookUp struct {
	at        time.Time
	resolver  string
	addresses []string
	lifetime  time.Duration
}

// lookUps are clients that ask the directory, each again when the lifetime of its last answer has ended.
type lookUps struct {
	site *site

	mu      sync.Mutex
	answers []lookUp
	work    sync.WaitGroup
}

// ask is one client.
func (l *lookUps) ask(zone int, end time.Time) {
	time.Sleep(time.Duration(rand.Float64() * 4 * float64(time.Second)))
	for time.Now().Before(end) {
		answer, ok := askDirectory(l.site, zone)
		if !ok {
			time.Sleep(time.Second)
			continue
		}
		l.mu.Lock()
		l.answers = append(l.answers, answer)
		l.mu.Unlock()
		time.Sleep(answer.lifetime)
	}
}

// directoryClient allows one second for each resolver.
var directoryClient = &http.Client{Timeout: time.Second}

// askDirectory asks up to three resolvers, that of the client's zone first.
func askDirectory(s *site, zone int) (lookUp, bool) {
	for i := range zones {
		resolver := s.resolvers[(zone+i)%len(zones)]
		query := url.Values{"name": {hostName}, "region": {"kvarner"}, "zone": {zones[zone]}}
		response, err := directoryClient.Get("http://" + resolver + "/resolve?" + query.Encode())
		if err != nil {
			continue
		}
		var reply struct {
			Addresses []string `json:"addrs"`
			Lifetime  float64  `json:"ttl_s"`
		}
		err = json.NewDecoder(response.Body).Decode(&reply)
		_ = response.Body.Close()
		if err == nil && response.StatusCode == http.StatusOK && len(reply.Addresses) > 0 {
			lifetime := time.Duration(min(reply.Lifetime, 5) * float64(time.Second))
			return lookUp{time.Now(), resolver, reply.Addresses, lifetime}, true
		}
	}
	return lookUp{}, false
}

// directoryCase loses one machine for good and, much later, the two others of its zone at once: rule DRAIN, answers of the
// directory.
func directoryCase(p *play) (int, error) {
	const (
		lostAt = 5 * time.Second
		zoneAt = 20 * time.Second
		bound  = 7 * time.Second // contact_ms + 3 s
	)
	lost := machine{2, 3, false}
	zoneRest := []machine{{2, 1, false}, {2, 2, true}}
	asking := &lookUps{site: p.site}
	end := p.begin.Add(30 * time.Second)
	for i := range userCount {
		asking.work.Go(func() { asking.ask(i%len(zones), end) })
	}
	var killedAt time.Time
	if p.trouble {
		time.Sleep(lostAt)
		p.site.kill(lost)
		killedAt = time.Now()
		p.printf("%8.3f machine edge-kv-c-3 is lost for good", p.since(killedAt))
		time.Sleep(zoneAt - lostAt)
		for _, m := range zoneRest {
			p.site.kill(m)
		}
		p.printf("%8.3f two machines lose power: kv-c-1, kv-c-2", p.since(time.Now()))
	}
	asking.work.Wait()
	gone := fmt.Sprintf("%s:%d", p.site.ip(lost.zone, lost.number), p.site.entryPort)
	wrong := 0
	for _, each := range asking.answers {
		mark := ""
		if p.trouble && each.at.Sub(killedAt) > bound && slices.Contains(each.addresses, gone) && len(each.addresses) > 1 {
			wrong++
			mark = "DRAIN: names the lost machine, " + fmt.Sprintf("%.3f s after its end; ", each.at.Sub(killedAt).Seconds())
		}
		p.printf("%8.3f %sanswer of %s: %v", p.since(each.at), mark, each.resolver, each.addresses)
	}
	p.printf("%d answers of the directory, %d of them name a machine that ended over 7 s before", len(asking.answers), wrong)
	if wrong > 3 {
		return broken, nil
	}
	return held, nil
}
