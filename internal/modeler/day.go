package modeler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
)

// maxCallerRetries is how often a caller retries a failed request.
const maxCallerRetries = 1

// callerRetryDelay is how long a caller waits before it retries at another host.
const callerRetryDelay = 10 * time.Millisecond

// simulation is one run of a scenario under one policy.
type simulation struct {
	scenario *Scenario
	policy   Policy
	clock    clock
	// Arrivals, service times, and the choices of hosts and faulty servers have separate random sources, so that every
	// policy is simulated under the same conditions.
	arrivalRandom, workRandom, choiceRandom *rand.Rand

	catalog         *broker.Catalog
	registrations   map[string]broker.Registration
	servers         map[broker.ServerName]*server
	replicasByShard [][]*server
	hosts           []*host
	callCount       int
	attemptCount    int // at servers
	requestCount    int // of callers
	outcomes        []requestOutcome
}

// request is one request of a caller, including its retries.
type request struct {
	sim     *simulation
	kind    int
	number  int
	sentAt  time.Duration
	retries int
}

func (r *request) id() string { return strconv.Itoa(r.number) }

// requestOutcome is the result of a request as its caller sees it.
type requestOutcome struct {
	kind     int
	sentAt   time.Duration
	latency  time.Duration
	answered bool // within the deadline
	coverage float64
}

func newSimulation(scenario *Scenario, policy Policy, seed uint64) *simulation {
	sim := &simulation{
		scenario: scenario, policy: policy, servers: map[broker.ServerName]*server{},
		registrations: map[string]broker.Registration{},
	}
	source := func(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }
	sim.arrivalRandom, sim.workRandom, sim.choiceRandom = source(1), source(2), source(3)
	sim.buildServers(source(4))
	for i := range scenario.Hosts {
		h := &host{sim: sim, zone: i % len(scenario.Zones), random: source(uint64(100 + i))}
		sim.hosts = append(sim.hosts, h)
	}
	for _, h := range sim.hosts {
		h.start()
	}
	return sim
}

// buildServers creates the servers and the configuration of the hosts that lists them.
func (sim *simulation) buildServers(random *rand.Rand) {
	sim.catalog = &broker.Catalog{Version: 1, Services: map[string]broker.ServicePolicy{}}
	shards := make([]string, sim.scenario.Shards)
	for i := range shards {
		shards[i] = fmt.Sprintf("shard%03d", i)
		sim.catalog.Services[shards[i]] = broker.ServicePolicy{MaxConnections: maxConnections}
		var replicas []*server
		first := random.IntN(len(sim.scenario.Zones))
		for k := range sim.scenario.Replicas {
			zone := (first + k) % len(sim.scenario.Zones)
			index := i*sim.scenario.Replicas + k
			registration := broker.Registration{
				ID: fmt.Sprintf("%s-%d", shards[i], k), Service: shards[i], Zone: sim.scenario.Zones[zone],
				Slots: sim.scenario.Slots, Address: serverAddress(index),
			}
			sim.registrations[registration.ID] = registration
			s := newServer(&sim.clock, sim.scenario, registration.Name(), index, zone, random)
			sim.servers[s.name] = s
			replicas = append(replicas, s)
		}
		sim.replicasByShard = append(sim.replicasByShard, replicas)
	}
	for i := range sim.scenario.Kinds {
		k := &sim.scenario.Kinds[i]
		sim.catalog.Routes = append(sim.catalog.Routes, broker.Route{
			Name: k.Name, Host: "model", Prefix: "/" + k.Name + "/", Idempotent: true, Timeout: time.Duration(k.Deadline),
			LatencyTarget: time.Duration(k.Target), MaxAttempts: max(k.Attempts, 1), Shards: shards,
			TopRecords: 1, MinCoverage: k.MinCoverage,
		})
	}
}

// run runs the simulation until every request has ended.
func (sim *simulation) run() {
	for i := range sim.scenario.Kinds {
		sim.scheduleArrival(i)
	}
	for i := range sim.scenario.Faults {
		sim.scheduleFault(&sim.scenario.Faults[i])
	}
	maxDeadline := time.Duration(0)
	for i := range sim.scenario.Kinds {
		maxDeadline = max(maxDeadline, time.Duration(sim.scenario.Kinds[i].Deadline))
	}
	sim.clock.runUntil(time.Duration(sim.scenario.Length) + (1+maxCallerRetries)*maxDeadline)
}

// scheduleArrival schedules the next request of a kind after an exponentially distributed interval.
func (sim *simulation) scheduleArrival(kind int) {
	interval := time.Duration(sim.arrivalRandom.ExpFloat64() / sim.scenario.Kinds[kind].Rate * float64(time.Second))
	sim.clock.after(interval, func() {
		if sim.clock.now >= time.Duration(sim.scenario.Length) {
			return
		}
		r := &request{sim: sim, kind: kind, number: sim.requestCount, sentAt: sim.clock.now}
		sim.requestCount++
		r.send()
		sim.scheduleArrival(kind)
	})
}

// send sends the request to a random host. If that host is down, the request fails at once and is retried.
func (r *request) send() {
	sim := r.sim
	if sim.policy.Oracle {
		sim.answerAsOracle(r)
		return
	}
	h := sim.hosts[sim.choiceRandom.IntN(len(sim.hosts))]
	if !h.alive {
		r.retryOrFail()
		return
	}
	sim.clock.after(time.Duration(sim.scenario.ToCallers)/2, func() {
		if h.alive {
			h.startCall(r)
		} else {
			r.retryOrFail()
		}
	})
}

// retryOrFail schedules a retry of the caller, or records the failure if no retries or no time are left.
func (r *request) retryOrFail() {
	sim := r.sim
	if r.retries < maxCallerRetries && sim.clock.now-r.sentAt < time.Duration(sim.scenario.Kinds[r.kind].Deadline) {
		r.retries++
		sim.clock.after(callerRetryDelay, r.send)
		return
	}
	sim.outcomes = append(sim.outcomes, requestOutcome{kind: r.kind, sentAt: r.sentAt, latency: sim.clock.now - r.sentAt})
}

// handleAnswer records a complete or partial answer of a host and treats any other as a failure.
func (r *request) handleAnswer(answer *broker.Answer) {
	sim := r.sim
	if answer.Status != broker.StatusComplete && answer.Status != broker.StatusPartial {
		r.retryOrFail()
		return
	}
	sim.recordAnswer(r, sim.clock.now, float64(answer.Coverage.ShardsAnswered)/float64(answer.Coverage.ShardsTotal))
}

// recordAnswer records an answer that a host sent at answeredAt.
func (sim *simulation) recordAnswer(r *request, answeredAt time.Duration, coverage float64) {
	latency := answeredAt + time.Duration(sim.scenario.ToCallers)/2 - r.sentAt
	answered := latency <= time.Duration(sim.scenario.Kinds[r.kind].Deadline)
	sim.outcomes = append(sim.outcomes,
		requestOutcome{kind: r.kind, sentAt: r.sentAt, latency: latency, answered: answered, coverage: coverage})
}

// networkLatency returns the one-way latency between two zones, given by index.
func (sim *simulation) networkLatency(a, b int) time.Duration {
	if a == b {
		return time.Duration(sim.scenario.BetweenZones) / 10
	}
	return time.Duration(sim.scenario.BetweenZones)
}

// deliver sends an attempt from a host to a server, through the server's owner if the policy says so, and calls onEnd when
// the outcome has reached the host.
func (sim *simulation) deliver(from *host, to *server, work time.Duration, onEnd func(broker.Outcome, broker.Reason)) {
	delay := sim.networkLatency(from.zone, to.zone)
	if sim.policy.ThroughOwner {
		owner := sim.owner(to)
		if owner == nil {
			sim.clock.after(delay, func() { onEnd(broker.OutcomeNotRun, broker.ReasonNotOwner) })
			return
		}
		if downFor := sim.clock.now - owner.killedAt; !owner.alive {
			sim.clock.after(max(failureDetectionTime-downFor, delay), func() {
				onEnd(broker.OutcomeNotRun, broker.ReasonUnreachable)
			})
			return
		}
		if owner != from {
			delay = sim.networkLatency(from.zone, owner.zone) + sim.networkLatency(owner.zone, to.zone) + peerLinkCost/2
		}
	}
	sim.clock.after(delay, func() {
		to.submit(&job{work: work, onEnd: func(outcome broker.Outcome, reason broker.Reason) {
			sim.clock.after(delay, func() { onEnd(outcome, reason) })
		}})
	})
}

// owner returns the host that owns a server, or nil while no host does. It is the first host, counted from the server's
// index, that is up or whose failure is not yet detected; the next host takes over takeoverTime after a failure. A
// restarted host owns its servers again at once.
func (sim *simulation) owner(s *server) *host {
	first := s.index % len(sim.hosts)
	for i := range sim.hosts {
		h := sim.hosts[(first+i)%len(sim.hosts)]
		if h.alive || sim.clock.now-h.killedAt < failureDetectionTime {
			return h
		}
		if sim.clock.now-h.killedAt < takeoverTime {
			return nil
		}
	}
	return nil
}

// sortCalls returns calls in the order in which they started, so that runs with the same seed are identical.
func (sim *simulation) sortCalls(calls map[*call]bool) []*call {
	sorted := make([]*call, 0, len(calls))
	for c := range calls {
		sorted = append(sorted, c)
	}
	slices.SortFunc(sorted, func(a, b *call) int { return a.number - b.number })
	return sorted
}

// answerAsOracle answers a request with knowledge of when each server will answer: it asks the server of each shard that
// answers first, and stops waiting at the time that gives the highest worth.
func (sim *simulation) answerAsOracle(r *request) {
	k := &sim.scenario.Kinds[r.kind]
	arrival := sim.clock.now + time.Duration(sim.scenario.ToCallers)/2
	ends := make([]time.Duration, 0, len(sim.replicasByShard))
	for _, replicas := range sim.replicasByShard {
		work := drawServiceTime(k, sim.workRandom)
		var fastest *server
		var earliest time.Duration
		for _, s := range replicas {
			if s.down || s.silent || s.queued() >= sim.scenario.Queue {
				continue
			}
			if _, end := s.predict(arrival, work); fastest == nil || end < earliest {
				fastest, earliest = s, end
			}
		}
		if fastest == nil {
			continue
		}
		sim.attemptCount++
		sim.clock.after(arrival-sim.clock.now, func() {
			fastest.submit(&job{work: work, onEnd: func(broker.Outcome, broker.Reason) {}})
		})
		ends = append(ends, earliest)
	}
	slices.Sort(ends)
	sim.recordBestAnswer(r, k, ends)
}

// recordBestAnswer records the answer with the highest worth, given the sorted times at which the shards answer.
func (sim *simulation) recordBestAnswer(r *request, k *Kind, ends []time.Duration) {
	total := float64(len(sim.replicasByShard))
	bestCount, answeredAt, bestWorth := 0, time.Duration(0), -1.0
	for i, end := range ends {
		coverage := float64(i+1) / total
		if coverage < k.MinCoverage {
			continue
		}
		worth := k.Worth * coverage * coverage
		if end+time.Duration(sim.scenario.ToCallers)/2-r.sentAt > time.Duration(k.Target) {
			worth *= k.LateWorth
		}
		if worth > bestWorth {
			bestCount, answeredAt, bestWorth = i+1, end, worth
		}
	}
	if bestCount == 0 {
		r.retries = maxCallerRetries
		r.retryOrFail()
		return
	}
	sim.recordAnswer(r, answeredAt, float64(bestCount)/total)
}

// scheduleFault schedules the injection of a fault.
func (sim *simulation) scheduleFault(f *Fault) {
	sim.clock.after(time.Duration(f.At), func() {
		if f.Kind == FaultHostKilled {
			sim.killHosts(f)
			return
		}
		for _, replicas := range sim.replicasByShard {
			if sim.choiceRandom.Float64() < f.Share {
				sim.injectServerFault(replicas[sim.choiceRandom.IntN(len(replicas))], f)
			}
		}
	})
}

// injectServerFault injects a fault into a server and schedules its end.
func (sim *simulation) injectServerFault(s *server, f *Fault) {
	revert := func() {}
	switch f.Kind {
	case FaultServerSlow:
		s.slowFactor = f.Factor
		revert = func() { s.slowFactor = 1 }
	case FaultServerDown:
		s.crash()
		revert = func() { s.down = false }
	case FaultServerSilent:
		s.silent = true
		revert = func() { s.silent = false }
	}
	sim.clock.after(time.Duration(f.For), revert)
}

// killHosts kills a random share of the hosts, at least one, and schedules their restarts.
func (sim *simulation) killHosts(f *Fault) {
	count := max(1, int(f.Share*float64(len(sim.hosts))))
	for _, i := range sim.choiceRandom.Perm(len(sim.hosts))[:count] {
		h := sim.hosts[i]
		if !h.alive {
			continue
		}
		h.kill()
		sim.clock.after(time.Duration(f.For), h.start)
	}
}
