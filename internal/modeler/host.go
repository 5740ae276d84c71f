package modeler

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/budgeter"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/scatterer"
	"github.com/yuccarock/yuccarock/internal/broker/state/indexer"
	"github.com/yuccarock/yuccarock/internal/broker/state/registrar"
	"github.com/yuccarock/yuccarock/internal/broker/state/tracker"
)

// maxConnections is never reached: connections are not modelled.
const maxConnections = 1000

// discardSink is a registrar.Sink that does nothing, because the model has no dispatcher.
type discardSink struct{}

func (discardSink) SetTable(*indexer.Table)       {}
func (discardSink) Retain(broker.ServerName, int) {}

// retryWindow is the time within which the extra attempts of all hosts are limited.
const retryWindow = 10 * time.Second

// host is one entry host with the state that its decisions depend on.
type host struct {
	sim      *simulation
	zone     int
	alive    bool
	killedAt time.Duration
	random   *rand.Rand

	tracker   *tracker.Tracker
	registrar *registrar.Registrar
	budgets   *budgeter.Shards
	calls     map[*call]bool
}

// start starts the host with the state of a new process.
func (h *host) start() {
	sim := h.sim
	h.alive = true
	h.calls = map[*call]bool{}
	h.tracker = tracker.New()
	h.registrar = registrar.New(h.tracker, discardSink{}, sim.scenario.Zones[h.zone], sim.scenario.Zones)
	h.registrar.Adopt(sim.catalog)
	h.registrar.SetServers(sim.registrations, registrar.FromListing, sim.clock.time())
	h.registrar.SetHostCount(len(sim.hosts))
	share := budgeter.HostShare(sim.scenario.RetryShare)
	allotment := budgeter.HostAllotment(sim.scenario.RetrySlack, len(sim.hosts), retryWindow)
	if sim.policy.NoExtraAttempts {
		share, allotment = 0, budgeter.Allotment{}
	}
	h.budgets = budgeter.NewShards(share, allotment)
	if sim.clock.now == 0 {
		h.budgets.SetFirstStart()
	}
	h.budgets.Serve(sim.clock.time())
}

// kill takes the host down and fails the calls in progress.
func (h *host) kill() {
	h.alive, h.killedAt = false, h.sim.clock.now
	interrupted := h.calls
	h.calls = nil
	for _, c := range h.sim.sortCalls(interrupted) {
		c.done = true
		c.request.retryOrFail()
	}
}

// call is the processing of one request at one host.
type call struct {
	host    *host
	request *request
	number  int // order of start
	session *scatterer.Session
	wakeAt  time.Duration
	done    bool
}

// startCall starts the processing of a request.
func (h *host) startCall(r *request) {
	sim := h.sim
	route := &sim.catalog.Routes[r.kind]
	c := &call{host: h, request: r, number: sim.callCount}
	sim.callCount++
	var err error
	h.budgets.Serve(sim.clock.time())
	c.session, err = scatterer.New(scatterer.Dependencies{
		View: h.registrar.View().Tracked, Random: h.random,
		Strategy: scatterer.NewStrategy(route, sim.scenario.Zones[h.zone], h.budgets),
	}, scatterer.Request{
		Query: broker.Query{RequestID: r.id(), Kind: registrar.KindName(route, "")}, Seen: true,
		Deadline: sim.clock.time().Add(time.Duration(sim.scenario.Kinds[r.kind].Deadline) - (sim.clock.now - r.sentAt)),
	}, sim.clock.time())
	if err != nil {
		r.retryOrFail() // no server for the request
		return
	}
	h.calls[c] = true
	c.apply(c.session.Start(sim.clock.time()))
}

// apply carries out the actions that the session returned.
func (c *call) apply(actions scatterer.Actions) {
	for _, send := range actions.Sends {
		c.sendAttempt(send.Sub)
	}
	if !actions.WakeAt.IsZero() {
		c.scheduleWake(actions.WakeAt.Sub(epoch))
	}
	if actions.Finish != nil {
		c.done = true
		delete(c.host.calls, c)
		stats := c.session.Stats()
		c.host.sim.attemptCount += stats.Sent
		c.request.handleAnswer(actions.Finish)
	}
}

// scheduleWake schedules a wake-up of the session, which replaces an earlier one.
func (c *call) scheduleWake(at time.Duration) {
	sim := c.host.sim
	c.wakeAt = at
	sim.clock.after(at-sim.clock.now, func() {
		if !c.done && c.wakeAt == at {
			c.apply(c.session.Wake(sim.clock.time()))
		}
	})
}

// sendAttempt sends one attempt to its server and passes the answer to the session.
func (c *call) sendAttempt(sub *broker.SubRequest) {
	sim := c.host.sim
	target, tracked := sim.servers[sub.Server], c.host.tracker.Server(sub.Server)
	answer := scatterer.NotSent(sub)
	sentAt := sim.clock.time()
	tracked.ExchangeStarted(sentAt)
	onEnd := func(outcome broker.Outcome, reason broker.Reason) {
		answer.Outcome, answer.Reason = outcome, reason
		now := sim.clock.time()
		tracked.ExchangeEnded(sentAt, now, outcome != broker.OutcomeAnswered)
		if c.done {
			return
		}
		var opaque *broker.OpaqueAnswer
		if outcome == broker.OutcomeAnswered {
			opaque = &broker.OpaqueAnswer{}
		}
		c.apply(c.session.AnswerOpaque(now, &answer, opaque))
	}
	sim.deliver(c.host, target, drawServiceTime(&sim.scenario.Kinds[c.request.kind], sim.workRandom), onEnd)
}

// serverAddress returns a distinct address for the server with an index; nothing connects to it.
func serverAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1)
}
