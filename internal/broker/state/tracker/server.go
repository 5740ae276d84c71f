package tracker

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/state/holder"
)

// latencyDivisor is the inverse weight of one observation in the moving average of a server's latency.
const latencyDivisor = 8

// maxAnnouncements limits the owners whose announcements are kept per server; a takeover involves two.
const maxAnnouncements = 4

// announcement is the last announcement of one owner.
type announcement struct {
	state    broker.ServerState
	arrival  uint64 // arrival order among all announcements
	rejected bool   // the owner is unreachable or denied that it owns the server
}

// Server is what an entry knows about one backend server; State, Outstanding and Latency take no lock.
type Server struct {
	Name broker.ServerName

	state       *holder.Holder[broker.ServerState]
	outstanding atomic.Int64
	latency     atomic.Int64 // moving average in nanoseconds, zero before the first observation

	announcements []announcement // guarded by the tracker's lock

	exchanges exchangeStats
	notice    atomic.Pointer[receivedNotice]
	leftAt    atomic.Pointer[time.Time] // when the server first stated that it is leaving
	pacer     pacer
}

func newServer(name broker.ServerName, common *periodEstimator) *Server {
	return &Server{
		Name:      name,
		state:     holder.New(&broker.ServerState{Server: name, Phase: broker.PhaseUnknown}),
		exchanges: exchangeStats{pauses: pausePredictor{estimator: common}},
	}
}

// State returns the announced state, which must not be modified.
func (s *Server) State() *broker.ServerState { return s.state.Load() }

// Outstanding returns the number of attempts of this entry that wait for an answer of the server.
func (s *Server) Outstanding() int64 { return s.outstanding.Load() }

// Begin counts an attempt as outstanding.
func (s *Server) Begin() { s.outstanding.Add(1) }

// End undoes Begin when the attempt has ended.
func (s *Server) End() { s.outstanding.Add(-1) }

// Latency returns the moving average of the observed latency, zero before the first observation.
func (s *Server) Latency() time.Duration { return time.Duration(s.latency.Load()) }

// Observe adds an observed latency to the moving average; a concurrent observation may be lost.
func (s *Server) Observe(latency time.Duration) {
	current := s.latency.Load()
	if current == 0 {
		s.latency.Store(int64(latency))
		return
	}
	s.latency.Store(current + (int64(latency)-current)/latencyDivisor)
}

// apply stores an announcement and reports whether the published state changed.
func (s *Server) apply(state broker.ServerState, arrival uint64) bool {
	i := slices.IndexFunc(s.announcements, func(r announcement) bool { return r.state.Owner == state.Owner })
	if i >= 0 {
		known := &s.announcements[i]
		if state.Sequence < known.state.Sequence {
			return false
		}
		// A repeated announcement of a previous owner must not displace the present one.
		if state.Sequence == known.state.Sequence && s.State().Owner != state.Owner && s.State().Owner != "" {
			return false
		}
		*known = announcement{state: state, arrival: arrival}
	} else {
		s.announcements = append(s.announcements, announcement{state: state, arrival: arrival})
		if len(s.announcements) > maxAnnouncements {
			s.announcements = slices.Delete(s.announcements, 0, 1)
		}
	}
	return s.publish(state)
}

// reject ignores the announcement of owner until it announces again, and reports whether the published state changed.
// Without another owner to fall back to, the server becomes unknown if force is set and stays unchanged otherwise.
func (s *Server) reject(owner broker.NodeID, force bool) bool {
	current := s.State().Owner == owner
	var fallback *announcement
	for i := range s.announcements {
		known := &s.announcements[i]
		if known.state.Owner != owner && !known.rejected && (fallback == nil || known.arrival > fallback.arrival) {
			fallback = known
		}
	}
	if current && fallback == nil && !force {
		return false
	}
	for i := range s.announcements {
		if s.announcements[i].state.Owner == owner {
			s.announcements[i].rejected = true
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

// equalStates compares the fields that readers use, which leaves out the sequence and the number of requests in flight.
func equalStates(a, b *broker.ServerState) bool {
	return a.Phase == b.Phase && a.Limit == b.Limit && a.Partitioning == b.Partitioning && a.BootID == b.BootID &&
		a.Owner == b.Owner && slices.Equal(a.Snapshots, b.Snapshots)
}
