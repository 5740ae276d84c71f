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

// modelConnections does not bound the connections, which are not modelled.
const modelConnections = 1000

// noSink takes what the registrar tells a dispatcher.
type noSink struct{}

func (noSink) SetTable(*indexer.Table)       {}
func (noSink) Retain(broker.ServerName, int) {}

// host is one entry host with the state that hosts keep.
type host struct {
	day      *day
	zone     int
	alive    bool
	killedAt time.Duration
	random   *rand.Rand

	tracker   *tracker.Tracker
	registrar *registrar.Registrar
	budgets   *budgeter.Shards
	running   map[*call]bool
}

// start gives a host the state of a new process.
func (h *host) start() {
	d := h.day
	h.alive = true
	h.running = map[*call]bool{}
	h.tracker = tracker.New()
	h.registrar = registrar.New(h.tracker, noSink{}, d.scenario.Zones)
	h.registrar.Adopt(d.catalog)
	h.registrar.SetServers(d.registrations, true, d.clock.time())
	h.registrar.SetHostCount(len(d.hosts))
	share, burst := budgeter.HostShare(d.scenario.RetryShare), budgeter.HostBurst(d.scenario.RetrySlack, len(d.hosts))
	if d.policy.NoFurther {
		share, burst = 0, 0
	}
	h.budgets = budgeter.NewShards(share, burst)
}

// kill ends all calls of the host.
func (h *host) kill() {
	h.alive, h.killedAt = false, h.day.clock.now
	lost := h.running
	h.running = nil
	for _, c := range h.day.inOrder(lost) {
		c.done = true
		c.request.failed()
	}
}

// call is one request at one host.
type call struct {
	host    *host
	request *request
	number  int
	session *scatterer.Session
	wakeAt  time.Duration
	done    bool
}

// take begins a request.
func (h *host) take(r *request) {
	d := h.day
	route := &d.catalog.Routes[r.kind]
	c := &call{host: h, request: r, number: d.calls}
	d.calls++
	var err error
	c.session, err = scatterer.New(scatterer.Dependencies{
		View: h.registrar.View().Tracked, Random: h.random,
		Strategy: scatterer.NewStrategy(route, d.scenario.Zones[h.zone], h.budgets),
	}, scatterer.Request{
		Query: broker.Query{RequestID: r.id(), Kind: registrar.KindName(route.Name, "")}, Seen: true,
		Deadline: d.clock.time().Add(time.Duration(d.scenario.Kinds[r.kind].Deadline) - (d.clock.now - r.sent)),
	}, d.clock.time())
	if err != nil {
		r.failed() // the scenario has no servers for it
		return
	}
	h.running[c] = true
	c.apply(c.session.Start(d.clock.time()))
}

func (c *call) apply(actions scatterer.Actions) {
	for _, send := range actions.Sends {
		c.send(send.Sub)
	}
	if !actions.WakeAt.IsZero() {
		c.wake(actions.WakeAt.Sub(epoch))
	}
	if actions.Finish != nil {
		c.done = true
		delete(c.host.running, c)
		stats := c.session.Stats()
		c.host.day.sent += stats.Sent
		c.request.finish(actions.Finish)
	}
}

func (c *call) wake(at time.Duration) {
	d := c.host.day
	c.wakeAt = at
	d.clock.after(at-d.clock.now, func() {
		if !c.done && c.wakeAt == at {
			c.apply(c.session.Wake(d.clock.time()))
		}
	})
}

// send carries one attempt to its server and the answer back.
func (c *call) send(sub *broker.SubRequest) {
	d := c.host.day
	target, seen := d.servers[sub.Server], c.host.tracker.Server(sub.Server)
	answer := scatterer.NotSent(sub)
	sent := d.clock.time()
	seen.ExchangeStarted(sent)
	ended := func(outcome broker.Outcome, reason broker.Reason) {
		answer.Outcome, answer.Reason = outcome, reason
		now := d.clock.time()
		seen.ExchangeEnded(sent, now, outcome != broker.OutcomeAnswered)
		if c.done {
			return
		}
		var opaque *broker.OpaqueAnswer
		if outcome == broker.OutcomeAnswered {
			opaque = &broker.OpaqueAnswer{}
		}
		c.apply(c.session.AnswerOpaque(now, &answer, opaque))
	}
	d.carry(c.host, target, draw(&d.scenario.Kinds[c.request.kind], d.work), ended)
}

// address gives each server one of its own; nothing connects to it.
func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1)
}
