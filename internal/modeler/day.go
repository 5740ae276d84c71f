package modeler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
)

// callerRetries is how often a caller sends a request again after a failure.
const callerRetries = 1

// refusedRetry is a caller's pause before it tries another host.
const refusedRetry = 10 * time.Millisecond

// day is one run of a scenario under one policy.
type day struct {
	scenario *Scenario
	policy   Policy
	clock    clock
	// Arrivals, work and faults draw from sources of their own, so that policies meet the same day.
	arrivals, work, luck *rand.Rand

	catalog       *broker.Catalog
	registrations map[string]broker.Registration
	servers       map[broker.ServerName]*server
	byShard       [][]*server
	hosts         []*host
	calls         int
	sent          int // attempts
	asked         int // requests
	outcomes      []outcome
}

// request is one request of a caller, with its retries.
type request struct {
	day     *day
	kind    int
	number  int
	sent    time.Duration
	retries int
}

func (r *request) id() string { return strconv.Itoa(r.number) }

// outcome is what a caller got.
type outcome struct {
	kind     int
	sent     time.Duration
	took     time.Duration
	served   bool
	coverage float64
}

func newDay(scenario *Scenario, policy Policy, seed uint64) *day {
	d := &day{
		scenario: scenario, policy: policy, servers: map[broker.ServerName]*server{},
		registrations: map[string]broker.Registration{},
	}
	source := func(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }
	d.arrivals, d.work, d.luck = source(1), source(2), source(3)
	d.build(source(4))
	for i := range scenario.Hosts {
		h := &host{day: d, zone: i % len(scenario.Zones), random: source(uint64(100 + i))}
		d.hosts = append(d.hosts, h)
	}
	for _, h := range d.hosts {
		h.start()
	}
	return d
}

// build makes the servers and the configuration that names them.
func (d *day) build(random *rand.Rand) {
	d.catalog = &broker.Catalog{Version: 1, Services: map[string]broker.ServicePolicy{}}
	shards := make([]string, d.scenario.Shards)
	for i := range shards {
		shards[i] = fmt.Sprintf("shard%03d", i)
		d.catalog.Services[shards[i]] = broker.ServicePolicy{MaxConnections: modelConnections}
		var replicas []*server
		first := random.IntN(len(d.scenario.Zones))
		for k := range d.scenario.Replicas {
			zone := (first + k) % len(d.scenario.Zones)
			index := i*d.scenario.Replicas + k
			registration := broker.Registration{
				ID: fmt.Sprintf("%s-%d", shards[i], k), Service: shards[i], Zone: d.scenario.Zones[zone],
				Slots: d.scenario.Slots, Address: address(index),
			}
			d.registrations[registration.ID] = registration
			s := newServer(&d.clock, d.scenario, registration.Name(), index, zone, random)
			d.servers[s.name] = s
			replicas = append(replicas, s)
		}
		d.byShard = append(d.byShard, replicas)
	}
	for i := range d.scenario.Kinds {
		k := &d.scenario.Kinds[i]
		d.catalog.Routes = append(d.catalog.Routes, broker.Route{
			Name: k.Name, Host: "model", Prefix: "/" + k.Name + "/", Idempotent: true, Timeout: time.Duration(k.Deadline),
			LatencyTarget: time.Duration(k.Target), MaxAttempts: max(k.Attempts, 1), Shards: shards,
			TopRecords: 1, MinCoverage: k.MinCoverage,
		})
	}
}

// play runs the whole day.
func (d *day) play() {
	for i := range d.scenario.Kinds {
		d.scheduleArrival(i)
	}
	for i := range d.scenario.Faults {
		d.injectLater(&d.scenario.Faults[i])
	}
	longest := time.Duration(0)
	for i := range d.scenario.Kinds {
		longest = max(longest, time.Duration(d.scenario.Kinds[i].Deadline))
	}
	d.clock.run(time.Duration(d.scenario.Length) + (1+callerRetries)*longest)
}

// scheduleArrival lets the next request of a kind arrive after an exponential pause.
func (d *day) scheduleArrival(kind int) {
	pause := time.Duration(d.arrivals.ExpFloat64() / d.scenario.Kinds[kind].Rate * float64(time.Second))
	d.clock.after(pause, func() {
		if d.clock.now >= time.Duration(d.scenario.Length) {
			return
		}
		r := &request{day: d, kind: kind, number: d.asked, sent: d.clock.now}
		d.asked++
		r.send()
		d.scheduleArrival(kind)
	})
}

// send takes the request to a host; callers meet hosts that have died, and try another.
func (r *request) send() {
	d := r.day
	if d.policy.Foresight {
		d.answerWithForesight(r)
		return
	}
	h := d.hosts[d.luck.IntN(len(d.hosts))]
	if !h.alive {
		r.failed()
		return
	}
	d.clock.after(time.Duration(d.scenario.ToCallers)/2, func() {
		if h.alive {
			h.take(r)
		} else {
			r.failed()
		}
	})
}

// failed lets the caller try again while it has retries and time.
func (r *request) failed() {
	d := r.day
	if r.retries < callerRetries && d.clock.now-r.sent < time.Duration(d.scenario.Kinds[r.kind].Deadline) {
		r.retries++
		d.clock.after(refusedRetry, r.send)
		return
	}
	d.outcomes = append(d.outcomes, outcome{kind: r.kind, sent: r.sent, took: d.clock.now - r.sent})
}

// finish takes a host's answer.
func (r *request) finish(answer *broker.Answer) {
	d := r.day
	if answer.Status != broker.StatusComplete && answer.Status != broker.StatusPartial {
		r.failed()
		return
	}
	d.record(r, d.clock.now, float64(answer.Coverage.ShardsAnswered)/float64(answer.Coverage.ShardsTotal))
}

func (d *day) record(r *request, answered time.Duration, coverage float64) {
	took := answered + time.Duration(d.scenario.ToCallers)/2 - r.sent
	served := took <= time.Duration(d.scenario.Kinds[r.kind].Deadline)
	d.outcomes = append(d.outcomes, outcome{kind: r.kind, sent: r.sent, took: took, served: served, coverage: coverage})
}

// latency returns the one-way latency between two zones.
func (d *day) latency(a, b int) time.Duration {
	if a == b {
		return time.Duration(d.scenario.BetweenZones) / 10
	}
	return time.Duration(d.scenario.BetweenZones)
}

// carry takes an attempt to a server and its end back to the host, through the owner where the policy has one.
func (d *day) carry(from *host, to *server, work time.Duration, ended func(broker.Outcome, broker.Reason)) {
	way := d.latency(from.zone, to.zone)
	if d.policy.Hop {
		owner := d.owner(to)
		if owner == nil {
			d.clock.after(way, func() { ended(broker.OutcomeNotRun, broker.ReasonNotOwner) })
			return
		}
		if silentFor := d.clock.now - owner.killedAt; !owner.alive {
			d.clock.after(max(linkSilence-silentFor, way), func() { ended(broker.OutcomeNotRun, broker.ReasonUnreachable) })
			return
		}
		if owner != from {
			way = d.latency(from.zone, owner.zone) + d.latency(owner.zone, to.zone) + linkCost/2
		}
	}
	d.clock.after(way, func() {
		to.arrive(&job{work: work, ended: func(outcome broker.Outcome, reason broker.Reason) {
			d.clock.after(way, func() { ended(outcome, reason) })
		}})
	})
}

// owner returns the host that owns a server: by rank, without the hosts that have died long enough ago; nil while none
// has taken over. A host that is back owns its servers again after the same time.
func (d *day) owner(s *server) *host {
	first := s.index % len(d.hosts)
	for i := range d.hosts {
		h := d.hosts[(first+i)%len(d.hosts)]
		if h.alive || d.clock.now-h.killedAt < linkSilence {
			return h
		}
		if d.clock.now-h.killedAt < takeoverTime {
			return nil
		}
	}
	return nil
}

// inOrder returns calls in the order of their begin, so that a seed repeats the day.
func (d *day) inOrder(calls map[*call]bool) []*call {
	list := make([]*call, 0, len(calls))
	for c := range calls {
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b *call) int { return a.number - b.number })
	return list
}

// answerWithForesight answers a request as one would who knows when each server will answer: each part from the server that is
// first, and at the moment that earns most.
func (d *day) answerWithForesight(r *request) {
	k := &d.scenario.Kinds[r.kind]
	begin := d.clock.now + time.Duration(d.scenario.ToCallers)/2
	ends := make([]time.Duration, 0, len(d.byShard))
	for _, replicas := range d.byShard {
		work := draw(k, d.work)
		var best *server
		var least time.Duration
		for _, s := range replicas {
			if s.down || s.silent || s.queued() >= d.scenario.Queue {
				continue
			}
			if _, end := s.predict(begin, work); best == nil || end < least {
				best, least = s, end
			}
		}
		if best == nil {
			continue
		}
		d.sent++
		d.clock.after(begin-d.clock.now, func() {
			best.arrive(&job{work: work, ended: func(broker.Outcome, broker.Reason) {}})
		})
		ends = append(ends, least)
	}
	slices.Sort(ends)
	d.answerBest(r, k, ends)
}

// answerBest records the answer at the moment that earns most.
func (d *day) answerBest(r *request, k *Kind, ends []time.Duration) {
	total := float64(len(d.byShard))
	best, at, earned := 0, time.Duration(0), -1.0
	for i, end := range ends {
		coverage := float64(i+1) / total
		if coverage < k.MinCoverage {
			continue
		}
		worth := k.Worth * coverage * coverage
		if end+time.Duration(d.scenario.ToCallers)/2-r.sent > time.Duration(k.Target) {
			worth *= k.LateWorth
		}
		if worth > earned {
			best, at, earned = i+1, end, worth
		}
	}
	if best == 0 {
		r.retries = callerRetries
		r.failed()
		return
	}
	d.record(r, at, float64(best)/total)
}

// injectLater schedules a fault.
func (d *day) injectLater(f *Fault) {
	d.clock.after(time.Duration(f.At), func() {
		if f.Kind == FaultHostKilled {
			d.killHosts(f)
			return
		}
		for _, replicas := range d.byShard {
			if d.luck.Float64() < f.Share {
				d.injectServerFault(replicas[d.luck.IntN(len(replicas))], f)
			}
		}
	})
}

func (d *day) injectServerFault(s *server, f *Fault) {
	undo := func() {}
	switch f.Kind {
	case FaultServerSlow:
		s.factor = f.Factor
		undo = func() { s.factor = 1 }
	case FaultServerDown:
		s.crash()
		undo = func() { s.down = false }
	case FaultServerSilent:
		s.silent = true
		undo = func() { s.silent = false }
	}
	d.clock.after(time.Duration(f.For), undo)
}

func (d *day) killHosts(f *Fault) {
	count := max(1, int(f.Share*float64(len(d.hosts))))
	for _, i := range d.luck.Perm(len(d.hosts))[:count] {
		h := d.hosts[i]
		if !h.alive {
			continue
		}
		h.kill()
		d.clock.after(time.Duration(f.For), h.start)
	}
}
