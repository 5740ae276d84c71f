package tracker

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/state/holder"
)

// latencyWeight is the share of one observation in the moving average of a server's latency, as a divisor.
const latencyWeight = 8

// maxOwners bounds the owners whose announcements are kept per server; a takeover involves two.
const maxOwners = 4

// record is the last announcement of one owner.
type record struct {
	state    broker.ServerState
	arrival  uint64 // order in which announcements arrived
	rejected bool   // the owner is unreachable or denied that it owns the server
}

// Server is what an entry knows of one backend server; readers take no lock.
type Server struct {
	Name broker.ServerName

	state       *holder.Holder[broker.ServerState]
	outstanding atomic.Int64
	latency     atomic.Int64 // moving average in nanoseconds, zero before the first observation

	owners []record // guarded by the tracker's lock

	standing standing // of the exchanges that this host makes itself
}

func newServer(name broker.ServerName, common *rhythm) *Server {
	return &Server{
		Name:     name,
		state:    holder.New(&broker.ServerState{Server: name, Phase: broker.PhaseUnknown}),
		standing: standing{pauses: pauses{rhythm: common}},
	}
}

// State returns the announced state, which callers must not change.
func (s *Server) State() *broker.ServerState { return s.state.Load() }

// Outstanding returns the attempts of this entry that wait for an answer of the server.
func (s *Server) Outstanding() int64 { return s.outstanding.Load() }

// Begin counts an attempt as outstanding.
func (s *Server) Begin() { s.outstanding.Add(1) }

// End counts an attempt as no longer outstanding.
func (s *Server) End() { s.outstanding.Add(-1) }

// Latency returns the moving average of observed latency, zero before the first observation.
func (s *Server) Latency() time.Duration { return time.Duration(s.latency.Load()) }

// Observe adds an observed latency to the moving average; a concurrent observation may be lost.
func (s *Server) Observe(latency time.Duration) {
	current := s.latency.Load()
	if current == 0 {
		s.latency.Store(int64(latency))
		return
	}
	s.latency.Store(current + (int64(latency)-current)/latencyWeight)
}

// apply keeps an announcement and returns whether it changed the state that readers see.
func (s *Server) apply(state broker.ServerState, arrival uint64) bool {
	i := slices.IndexFunc(s.owners, func(r record) bool { return r.state.Owner == state.Owner })
	if i >= 0 {
		held := &s.owners[i]
		if state.Sequence < held.state.Sequence {
			return false
		}
		// A repeated announcement of a previous owner must not displace the present one.
		if state.Sequence == held.state.Sequence && s.State().Owner != state.Owner && s.State().Owner != "" {
			return false
		}
		*held = record{state: state, arrival: arrival}
	} else {
		s.owners = append(s.owners, record{state: state, arrival: arrival})
		if len(s.owners) > maxOwners {
			s.owners = slices.Delete(s.owners, 0, 1)
		}
	}
	return s.publish(state)
}

// reject stops using the announcements of owner until it announces again; without another owner to fall back
// to, the server becomes unknown where force is set and else stays as it is.
func (s *Server) reject(owner broker.NodeID, force bool) bool {
	current := s.State().Owner == owner
	var fallback *record
	for i := range s.owners {
		held := &s.owners[i]
		if held.state.Owner != owner && !held.rejected && (fallback == nil || held.arrival > fallback.arrival) {
			fallback = held
		}
	}
	if current && fallback == nil && !force {
		return false
	}
	for i := range s.owners {
		if s.owners[i].state.Owner == owner {
			s.owners[i].rejected = true
		}
	}
	switch {
	case !current:
		return false
	case fallback == nil:
		return s.publish(broker.ServerState{Server: s.Name, Phase: broker.PhaseUnknown})
	default:
		return s.publish(fallback.state)
	}
}

func (s *Server) publish(state broker.ServerState) bool {
	current := s.State()
	if equalStates(current, &state) {
		return false
	}
	s.state.Update(func(*broker.ServerState) *broker.ServerState { return &state })
	return true
}

// equalStates compares all that readers use; the sequence and the number of requests in flight are left out.
func equalStates(a, b *broker.ServerState) bool {
	return a.Phase == b.Phase && a.Limit == b.Limit && a.Partitioning == b.Partitioning && a.BootID == b.BootID &&
		a.Owner == b.Owner && slices.Equal(a.Snapshots, b.Snapshots)
}
