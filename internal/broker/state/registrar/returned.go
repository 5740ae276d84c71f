package registrar

import (
	"maps"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
)

// departureMemory is how long a server that was removed is remembered: longer than the age of a copy of the store and the
// time for which the store is away before it comes back from it.
const departureMemory = time.Minute

// recordDepartures remembers the processes that are draining, were replaced, or were removed, and forgets those that are
// registered again.
func (r *Registrar) recordDepartures(next map[string]serverEntry, origin Origin, now time.Time) {
	maps.DeleteFunc(r.departed, func(_ broker.ServerName, at time.Time) bool { return now.Sub(at) > departureMemory })
	for id, entry := range r.servers {
		current, ok := next[id]
		removed := !ok && origin < FromListingAfterOutage
		replaced := ok && current.StartedAt.After(entry.StartedAt)
		if entry.Draining || removed || replaced {
			r.departed[entry.Name()] = now
		}
	}
	if origin == FromOlderCopy {
		return
	}
	for _, entry := range next {
		if !entry.Draining {
			delete(r.departed, entry.Name())
		}
	}
}

// holdDeparted withholds requests from servers that an older copy of the store has as they were before they left.
func (r *Registrar) holdDeparted(next map[string]serverEntry, now time.Time) {
	for _, entry := range next {
		if _, ok := r.departed[entry.Name()]; ok && !entry.Draining {
			r.heldUntil[entry.Name()] = now.Add(expiryGrace)
		}
	}
}

// HoldZonesToLeave keeps the zones to leave for a grace, whatever is set: the older copy of the store may lack them.
func (r *Registrar) HoldZonesToLeave(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for zone := range r.zonesToLeave {
		r.zonesHeld[zone] = now.Add(expiryGrace)
	}
}

// leaves reports whether a zone is to be left.
func (r *Registrar) leaves(zone string) bool {
	return r.zonesToLeave[zone] || !r.zonesHeld[zone].IsZero()
}
