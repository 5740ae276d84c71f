package forwarder

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/follower"
)

// hostGrace is how long a host that the older copy of the store lacks counts as registered. It writes its record again once it
// knows of the return.
const hostGrace = 10 * time.Second

// storeReturns is what this host knows of returns of the store from an older copy.
type storeReturns struct {
	era    atomic.Uint64 // latest era of any collection
	notify chan struct{} // receives when the registered hosts are of a later era

	mu    sync.Mutex
	until time.Time                    // end of the grace of hosts
	hosts map[string]broker.HostRecord // that were registered before the return
}

// noteEra records the era of an update, and logs each rise once.
func noteEra[T any](f *Forwarder, update follower.Update[T]) {
	era := update.Known.Era
	for last := f.returned.era.Load(); era > last; last = f.returned.era.Load() {
		if !f.returned.era.CompareAndSwap(last, era) {
			continue
		}
		if update.Returned {
			f.logger.Warn("the store came back from an older copy", "era", era, "previousEra", update.Previous.Era,
				"revision", update.Known.Revision, "previousRevision", update.Previous.Revision)
		}
		return
	}
}

// await waits for a return, and reports whether there was one.
func (r *storeReturns) await(ctx context.Context, limit time.Duration) bool {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-r.notify:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// keepHosts adds the hosts that were registered before a return of the store to those that are now, for hostGrace. Probes tell
// which of them are running.
func (r *storeReturns) keepHosts(
	returned bool, known []broker.HostRecord, registered map[string]broker.HostRecord, now time.Time,
) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if returned {
		r.until, r.hosts = now.Add(hostGrace), make(map[string]broker.HostRecord, len(known))
		for _, host := range known {
			r.hosts[host.Name] = host
		}
		select {
		case r.notify <- struct{}{}:
		default:
		}
	}
	if !now.Before(r.until) {
		r.hosts = nil
	}
	for name, host := range r.hosts {
		if _, ok := registered[name]; !ok {
			registered[name] = host
		}
	}
}
