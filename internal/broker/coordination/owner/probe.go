package owner

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/admitter"
)

const (
	// unresolvedFor is how long after a request ended without an answer it is still taken to be running at the
	// server, because servers may be slow to stop a cancelled request.
	unresolvedFor = time.Second
	// unresolvedLimit bounds the requests kept for that.
	unresolvedLimit = 64
	// failedPollsDown is how many status probes in a row have to time out until the server counts as down.
	failedPollsDown = 3
	// verifyTries is how many status probes without a reply after a lost connection count as a crash: a request may
	// take the server's whole host down.
	verifyTries = 3
)

// errNotPermitted says that a probe was not sent because this node may not dispatch.
var errNotPermitted = errors.New("lease lapsed")

// unresolved is a request that ended without an answer.
type unresolved struct {
	fingerprint broker.Fingerprint
	until       time.Time
}

// investigation collects what is needed to tell a crash from a lost connection.
type investigation struct {
	bootID   string                          // of the process that was running the requests
	suspects map[broker.Fingerprint]struct{} // requests that were running there
	answers  []heldAnswer                    // answers that wait for the result
}

type heldAnswer struct {
	call   *call
	answer broker.SubAnswer
}

// exonerate removes a request that the server ended itself.
func (i *investigation) exonerate(c *call) { delete(i.suspects, c.sub.Fingerprint) }

// investigate starts an investigation, or adds a call to the one in progress; the lock is held and the call is still
// among the dispatched ones.
func (s *server) investigate(c *call, now time.Time) {
	if s.investigation == nil {
		s.investigation = &investigation{bootID: c.bootID, suspects: make(map[broker.Fingerprint]struct{})}
		if c.bootID == "" {
			s.investigation.bootID = s.admitter.BootID()
		}
		for _, other := range s.calls {
			if other.dispatched {
				s.investigation.suspects[other.sub.Fingerprint] = struct{}{}
			}
		}
		for _, u := range s.unresolved {
			if now.Before(u.until) {
				s.investigation.suspects[u.fingerprint] = struct{}{}
			}
		}
	}
	s.investigation.suspects[c.sub.Fingerprint] = struct{}{}
}

// remember keeps a request that ended without an answer; the lock is held.
func (s *server) remember(c *call, now time.Time) {
	s.unresolved = slices.DeleteFunc(s.unresolved, func(u unresolved) bool { return !now.Before(u.until) })
	if len(s.unresolved) >= unresolvedLimit {
		s.unresolved = slices.Delete(s.unresolved, 0, 1)
	}
	s.unresolved = append(s.unresolved, unresolved{fingerprint: c.sub.Fingerprint, until: now.Add(unresolvedFor)})
}

// verify finds out whether the server died when a connection was lost, and reports every request that was running
// there. It uses the slot of the lost request.
func (s *server) verify() {
	status, err := s.readStatus()
	for tries := 1; tries < verifyTries && inconclusive(err); tries++ {
		status, err = s.readStatus()
	}
	now := s.owner.clock.Now()
	var e effects
	s.mu.Lock()
	found := s.investigation
	s.investigation = nil
	crashed := err != nil && !errors.Is(err, errNotPermitted) ||
		err == nil && found.bootID != "" && status.BootID != found.bootID
	s.unresolved = nil
	if err == nil {
		s.learnStatus(&e, &status)
		s.collect(&e, s.admitter.Confirm(crashed, &status, now))
	} else {
		s.collect(&e, s.admitter.Confirm(crashed, nil, now))
	}
	s.mu.Unlock()
	if crashed {
		s.reportCrash(found)
	}
	for _, held := range found.answers {
		held.answer.Reason = broker.ReasonUnreachable
		if crashed {
			held.answer.Reason = broker.ReasonCrashed
		} else if held.call.trial {
			s.owner.quarantine.Abandon(held.call.sub.Fingerprint, s.name, unresolvedFor, now)
		}
		s.answer(held.call, held.answer)
	}
	s.apply(&e, nil)
}

// inconclusive returns whether a probe got neither a reply nor the certainty that there is no process.
func inconclusive(err error) bool {
	return err != nil && !errors.Is(err, errNotPermitted) && !errors.Is(err, broker.ErrUnreachable)
}

func (s *server) reportCrash(found *investigation) {
	s.owner.counters.crashes.Inc()
	for _, fingerprint := range slices.Sorted(maps.Keys(found.suspects)) {
		if fingerprint != 0 {
			s.report(broker.CrashReport{
				Fingerprint: fingerprint, Server: s.name, BootID: found.bootID, Alone: len(found.suspects) == 1,
			})
		}
	}
}

// probe polls the status endpoint under a ticket of the admitter.
func (s *server) probe(ticket admitter.Ticket) {
	status, err := s.readStatus()
	now := s.owner.clock.Now()
	var e effects
	s.mu.Lock()
	defer func() {
		s.mu.Unlock()
		s.apply(&e, nil)
	}()
	s.polling = false
	s.collect(&e, s.admitter.Finish(ticket, admitter.Result{Verdict: admitter.VerdictRefused}, now))
	if err == nil {
		s.failedPolls = 0
		s.learnStatus(&e, &status)
		s.collect(&e, s.admitter.ObserveStatus(status, now))
		return
	}
	if errors.Is(err, errNotPermitted) {
		return
	}
	s.failedPolls++
	if errors.Is(err, broker.ErrUnreachable) || s.failedPolls >= failedPollsDown {
		s.collect(&e, s.admitter.ObserveUnreachable(now))
	}
}

// readStatus reads the status endpoint if the lease permits it.
func (s *server) readStatus() (broker.BackendStatus, error) {
	if !s.permit() {
		return broker.BackendStatus{}, errNotPermitted
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.owner.options.ProbeTimeout)
	defer cancel()
	return s.owner.backend.Status(ctx, s.name, s.serverAddress())
}

// learnStatus takes the snapshots that a server holds of all its shards; the lock is held.
func (s *server) learnStatus(e *effects, status *broker.BackendStatus) {
	snapshots := commonSnapshots(status.Shards)
	if slices.Equal(snapshots, s.snapshots) && status.Partitioning == s.partitioning {
		return
	}
	s.snapshots, s.partitioning = snapshots, status.Partitioning
	e.announce = true
}

// commonSnapshots returns the snapshots that are there for every shard, newest first.
func commonSnapshots(shards map[broker.ShardName][]broker.Snapshot) []broker.Snapshot {
	counts := make(map[broker.Snapshot]int)
	for _, held := range shards {
		for _, snapshot := range held {
			counts[snapshot]++
		}
	}
	var common []broker.Snapshot
	for snapshot, count := range counts {
		if count == len(shards) {
			common = append(common, snapshot)
		}
	}
	slices.SortFunc(common, func(a, b broker.Snapshot) int {
		if a > b {
			return -1
		}
		return 1
	})
	return common
}
