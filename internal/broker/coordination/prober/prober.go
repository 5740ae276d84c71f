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
	StateNew     = "new"     // has stated itself, not asked yet
	StateReady   = "ready"   // takes requests
	StateUnready = "unready" // runs and takes no requests
	StateSuspect = "suspect" // missed one answer
	StateDown    = "down"    // missed several answers
)

const (
	eventAnswer = "answer"
	eventRefuse = "refuse"
	eventMiss   = "miss"
)

const (
	// DefaultInterval is the time between two questions to a host; a host that dies has left the answers to callers
	// after two of them and the timeout.
	DefaultInterval = time.Second
	// DefaultTimeout is how long a host may take to answer.
	DefaultTimeout = 700 * time.Millisecond
)

// Answer is what a host says of itself.
type Answer struct {
	Ready bool
	Load  float64 // processor cores in use
}

// Check asks a host whether it takes requests; an error means that it did not answer.
type Check func(ctx context.Context, host broker.HostRecord) (Answer, error)

// Options are the settings of a prober.
type Options struct {
	Self    string
	Timeout time.Duration
}

// Prober asks the other hosts in turn.
type Prober struct {
	check   Check
	options Options
	logger  *slog.Logger
	misses  *metrics.Counter

	mu    sync.Mutex
	hosts map[string]*host
}

// host is what is known of one host.
type host struct {
	record  broker.HostRecord
	machine *fsm.FSM
	load    float64 // of the last answer
}

// New returns a prober without hosts.
func New(check Check, options Options, set *metrics.Set, logger *slog.Logger) *Prober {
	return &Prober{
		check: check, options: options, logger: logger,
		misses: set.GetOrCreateCounter("yuccarock_host_probes_missed_total"),
		hosts:  map[string]*host{},
	}
}

// SetHosts takes the hosts that have stated themselves; what is known of a host ends with its process.
func (p *Prober) SetHosts(records map[string]broker.HostRecord) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := make(map[string]*host, len(records))
	for name, record := range records {
		if name == p.options.Self {
			continue
		}
		held := p.hosts[name]
		if held == nil || held.record.Process != record.Process {
			held = &host{machine: p.newMachine(name)}
		}
		held.record = record
		next[name] = held
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

// Usable returns the other hosts that callers may be sent to, apart from them those that missed their last answer.
func (p *Prober) Usable() (sound, suspect []broker.HostRecord) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, held := range p.hosts {
		switch held.machine.Current() {
		case StateNew, StateReady:
			sound = append(sound, held.record)
		case StateSuspect:
			suspect = append(suspect, held.record)
		}
	}
	return sound, suspect
}

// Known returns the other hosts that have stated themselves, whatever their state.
func (p *Prober) Known() []broker.HostRecord {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := make([]broker.HostRecord, 0, len(p.hosts))
	for _, held := range p.hosts {
		known = append(known, held.record)
	}
	return known
}

// Load returns the processor cores that the other hosts use, as they said last.
func (p *Prober) Load() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	load := 0.0
	for _, held := range p.hosts {
		load += held.load
	}
	return load
}

// Silent returns the names of the hosts that missed their last answers.
func (p *Prober) Silent() map[string]bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	silent := make(map[string]bool)
	for name, held := range p.hosts {
		switch held.machine.Current() {
		case StateSuspect, StateDown:
			silent[name] = true
		}
	}
	return silent
}

// Answering returns how many of the hosts that were asked answer.
func (p *Prober) Answering() (answering, asked int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, held := range p.hosts {
		switch held.machine.Current() {
		case StateReady, StateUnready:
			answering++
			asked++
		case StateSuspect, StateDown:
			asked++
		}
	}
	return answering, asked
}

// Ask asks the named hosts once and returns when all have answered or their time is over.
func (p *Prober) Ask(ctx context.Context, names []string) {
	p.mu.Lock()
	asked := make([]*host, 0, len(names))
	for _, name := range names {
		if held := p.hosts[name]; held != nil {
			asked = append(asked, held)
		}
	}
	p.mu.Unlock()
	var waiting sync.WaitGroup
	for _, held := range asked {
		waiting.Go(func() { p.ask(ctx, held) })
	}
	waiting.Wait()
}

func (p *Prober) ask(ctx context.Context, held *host) {
	callCtx, cancel := context.WithTimeout(ctx, p.options.Timeout)
	defer cancel()
	answer, err := p.check(callCtx, held.record)
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
	held.load = answer.Load
	// A state that stays is reported as an error by the library and needs no action.
	_ = held.machine.Event(ctx, event)
}
