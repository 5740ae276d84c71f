package prober

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/looplab/fsm"

	"github.com/yuccarock/yuccarock/internal/broker"
)

// States of a host.
const (
	StateNew     = "new"     // registered, not probed yet
	StateReady   = "ready"   // accepts requests
	StateUnready = "unready" // answers, but does not accept requests
	StateSuspect = "suspect" // missed one probe
	StateDown    = "down"    // missed several probes in a row
)

const (
	eventAnswer = "answer"
	eventRefuse = "refuse"
	eventMiss   = "miss"
)

const (
	// DefaultInterval is the time between two probes of a host. A host that dies is no longer returned to callers after
	// two intervals and the timeout.
	DefaultInterval = time.Second
	// DefaultTimeout is the maximum time that a host may take to answer a probe.
	DefaultTimeout = 700 * time.Millisecond
)

// Answer is a host's answer to a probe.
type Answer struct {
	Ready bool
	Load  float64 // processor cores in use
	// Process identifies the host's process; empty if the host does not state it.
	Process string
	// Quarantine identifies the set of requests that the host refuses because they crash servers; empty for none.
	Quarantine string
}

// Check sends one probe to a host; an error means that the host did not answer.
type Check func(ctx context.Context, host broker.HostRecord) (Answer, error)

// Options configure a Prober.
type Options struct {
	Self    string // name of this host, which is not probed
	Timeout time.Duration
}

// Prober keeps the state of the other hosts, as determined by probes.
type Prober struct {
	check   Check
	options Options
	logger  *slog.Logger
	misses  *metrics.Counter

	mu    sync.Mutex
	hosts map[string]*host
}

// host is a host with its state.
type host struct {
	record  broker.HostRecord
	machine *fsm.FSM
	load    float64 // processor cores in use, from the last probe
	// answeredAt is when the last probe that the host answered was sent, or zero.
	answeredAt time.Time
	// process is Answer.Process of the last answer, and quarantine is Answer.Quarantine of the last probe.
	process, quarantine string
}

// current returns the record with the process that answered last.
func (h *host) current() broker.HostRecord {
	record := h.record
	if h.process != "" {
		record.Process = h.process
	}
	return record
}

// New returns a prober without hosts.
func New(check Check, options Options, set *metrics.Set, logger *slog.Logger) *Prober {
	return &Prober{
		check: check, options: options, logger: logger,
		misses: set.GetOrCreateCounter("yuccarock_host_probes_missed_total"),
		hosts:  map[string]*host{},
	}
}

// SetHosts sets the registered hosts. The state of a host starts anew if its process has changed.
func (p *Prober) SetHosts(records map[string]broker.HostRecord) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := make(map[string]*host, len(records))
	for name, record := range records {
		if name == p.options.Self {
			continue
		}
		h := p.hosts[name]
		if h == nil || h.record.Process != record.Process {
			h = &host{machine: p.newMachine(name)}
		}
		h.record = record
		next[name] = h
	}
	p.hosts = next
}

func (p *Prober) newMachine(name string) *fsm.FSM {
	return fsm.NewFSM(StateNew, fsm.Events{
		{Name: eventAnswer, Src: []string{StateNew, StateReady, StateUnready, StateSuspect, StateDown}, Dst: StateReady},
		{Name: eventRefuse, Src: []string{StateNew, StateReady, StateUnready, StateSuspect, StateDown}, Dst: StateUnready},
		{Name: eventMiss, Src: []string{StateNew, StateReady, StateUnready}, Dst: StateSuspect},
		{Name: eventMiss, Src: []string{StateSuspect, StateDown}, Dst: StateDown},
	}, fsm.Callbacks{"enter_state": func(_ context.Context, e *fsm.Event) {
		p.logger.Info("host changed its state", "host", name, "from", e.Src, "to", e.Dst)
	}})
}

// Usable returns the hosts that are not known to refuse or miss requests, and separately those that missed only the last
// probe. A host that was never probed, or not for long, may be gone: Confirmed leaves it out.
func (p *Prober) Usable() (healthy, suspect []broker.HostRecord) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range p.hosts {
		switch h.machine.Current() {
		case StateNew, StateReady:
			healthy = append(healthy, h.current())
		case StateSuspect:
			suspect = append(suspect, h.current())
		}
	}
	return healthy, suspect
}

// Confirmed returns what Usable does, without the hosts that have not answered a probe within maxAge.
func (p *Prober) Confirmed(maxAge time.Duration) (healthy, suspect []broker.HostRecord) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range p.hosts {
		if time.Since(h.answeredAt) > maxAge {
			continue
		}
		switch h.machine.Current() {
		case StateReady:
			healthy = append(healthy, h.current())
		case StateSuspect:
			suspect = append(suspect, h.current())
		}
	}
	return healthy, suspect
}

// Ready returns the names of the hosts that took requests at their last probe, if that was within maxAge.
func (p *Prober) Ready(maxAge time.Duration) map[string]bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	ready := make(map[string]bool, len(p.hosts))
	for name, h := range p.hosts {
		if h.machine.Current() == StateReady && time.Since(h.answeredAt) <= maxAge {
			ready[name] = true
		}
	}
	return ready
}

// Known returns all other registered hosts, whatever their state.
func (p *Prober) Known() []broker.HostRecord {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := make([]broker.HostRecord, 0, len(p.hosts))
	for _, h := range p.hosts {
		known = append(known, h.record)
	}
	return known
}

// Load returns the number of processor cores in use at the named hosts together, from their last probes.
func (p *Prober) Load(names []string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	load := 0.0
	for _, name := range names {
		if h := p.hosts[name]; h != nil {
			load += h.load
		}
	}
	return load
}

// WithQuarantineOtherThan returns the hosts that refuse a set of requests that is not empty and not the given one.
func (p *Prober) WithQuarantineOtherThan(own string) []broker.HostRecord {
	p.mu.Lock()
	defer p.mu.Unlock()
	var hosts []broker.HostRecord
	for _, h := range p.hosts {
		if h.quarantine != "" && h.quarantine != own {
			hosts = append(hosts, h.record)
		}
	}
	return hosts
}

// Silent returns the names of the hosts that did not answer their last probe.
func (p *Prober) Silent() map[string]bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	silent := make(map[string]bool)
	for name, h := range p.hosts {
		switch h.machine.Current() {
		case StateSuspect, StateDown:
			silent[name] = true
		}
	}
	return silent
}

// Answering returns how many hosts answered their last probe and how many have been probed.
func (p *Prober) Answering() (answering, probed int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range p.hosts {
		switch h.machine.Current() {
		case StateReady, StateUnready:
			answering++
			probed++
		case StateSuspect, StateDown:
			probed++
		}
	}
	return answering, probed
}

// Probe probes the named hosts once and returns when each has answered or timed out.
func (p *Prober) Probe(ctx context.Context, names []string) {
	var probes sync.WaitGroup
	p.mu.Lock()
	for _, name := range names {
		if h := p.hosts[name]; h != nil {
			record := h.record // SetHosts may replace it meanwhile
			probes.Go(func() { p.probe(ctx, h, record) })
		}
	}
	p.mu.Unlock()
	probes.Wait()
}

func (p *Prober) probe(ctx context.Context, h *host, record broker.HostRecord) {
	callCtx, cancel := context.WithTimeout(ctx, p.options.Timeout)
	defer cancel()
	sent := time.Now()
	answer, err := p.check(callCtx, record)
	if ctx.Err() != nil {
		return
	}
	event := eventRefuse
	switch {
	case err != nil:
		event = eventMiss
		p.misses.Inc()
	case answer.Ready:
		event = eventAnswer
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	h.load, h.quarantine = answer.Load, answer.Quarantine
	if err == nil {
		h.process, h.answeredAt = answer.Process, sent
	}
	// The library returns an error if the state does not change; this needs no action.
	_ = h.machine.Event(ctx, event)
}
