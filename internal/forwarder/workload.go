package forwarder

import (
	"sync/atomic"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker/coordination/prober"
)

const (
	// standbyProbeInterval is the time between two probes by a host that is neither used nor among the next ones.
	standbyProbeInterval = 5 * time.Second
	// A host that gets minWorkRate requests a second is used, whatever it believes. Single requests, as callers send with an
	// old address or operators to test a host, do not make it so.
	minWorkRate = 2.0
	// wakeArrivals is the number of requests since the last probe after which a host in standby probes at once.
	wakeArrivals = 10
)

// workload counts the requests that this host gets from callers and other hosts, and decides how often it probes others.
type workload struct {
	arrivals atomic.Int64 // since the last probe
	standby  atomic.Bool
	woken    chan struct{}

	probedAt time.Time // used by probeHosts only
}

func newWorkload(now time.Time) *workload {
	return &workload{woken: make(chan struct{}, 1), probedAt: now}
}

// arrived counts a request, and wakes the probes of a host in standby that gets many.
func (w *workload) arrived() {
	if w.arrivals.Add(1) == wakeArrivals && w.standby.Load() {
		select {
		case w.woken <- struct{}{}:
		default:
		}
	}
}

// probeInterval returns the time until the next probe of other hosts. The load that it answers is the probes themselves,
// which grow with the square of the number of hosts if all probe alike: needed are those of resolvers, of the hosts that
// are used and of the ones next in order.
func (w *workload) probeInterval(needed bool, now time.Time) time.Duration {
	used := float64(w.arrivals.Swap(0)) >= minWorkRate*now.Sub(w.probedAt).Seconds()
	w.probedAt = now
	w.standby.Store(!needed && !used)
	if w.standby.Load() {
		return standbyProbeInterval
	}
	return prober.DefaultInterval
}
