package forwarder

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
)

const (
	// minAddressLifetime and maxAddressLifetime bound how long callers are asked to cache a resolve answer.
	minAddressLifetime = time.Second
	maxAddressLifetime = 4 * time.Second
	// lifetimeShare is the lifetime of addresses as a share of the time for which the serving hosts have not changed.
	lifetimeShare = 0.5
)

// addressLifetime is how long callers are asked to cache a resolve answer. A caller that asks again waits for one or two
// round trips before its next request, and one with the address of a lost host waits longer; lost and replaced hosts come
// in series, so that the lifetime is short after a change and grows while there is none.
type addressLifetime struct {
	mu        sync.Mutex
	hosts     []hostProcess // of the serving hosts, sorted
	changedAt time.Time
}

// hostProcess is one process of a host.
type hostProcess struct{ name, process string }

func (p hostProcess) compare(other hostProcess) int {
	return cmp.Or(cmp.Compare(p.name, other.name), cmp.Compare(p.process, other.process))
}

// observe records the serving hosts.
func (l *addressLifetime) observe(serving []broker.HostRecord, now time.Time) {
	hosts := make([]hostProcess, len(serving))
	for i := range serving {
		hosts[i] = hostProcess{serving[i].Name, serving[i].Process}
	}
	slices.SortFunc(hosts, hostProcess.compare)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.changedAt.IsZero() || !slices.Equal(hosts, l.hosts) {
		l.hosts, l.changedAt = hosts, now
	}
}

// current returns the lifetime of a resolve answer that is given now.
func (l *addressLifetime) current(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.changedAt.IsZero() {
		return minAddressLifetime
	}
	stable := time.Duration(float64(now.Sub(l.changedAt)) * lifetimeShare)
	return min(max(stable, minAddressLifetime), maxAddressLifetime)
}
