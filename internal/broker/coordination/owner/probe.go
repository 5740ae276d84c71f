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
	// unansweredTTL is how long a request that ended without an answer is assumed to be still running at the server,
	// because servers may be slow to stop a cancelled request.
	unansweredTTL = time.Second
	// maxUnanswered limits the number of such requests kept for each server.
	maxUnanswered = 64
	// maxFailedPolls is the number of failed status probes in a row after which a server counts as down.
	maxFailedPolls = 3
	// crashCheckProbes is the number of status probes without a reply after which a lost connection counts as a crash,
	// because a request may take the server's whole host down.
	crashCheckProbes = 3
)

// errNotPermitted means that a status probe was not sent because this node may not dispatch to the server.
var errNotPermitted = errors.New("status probe not sent: lease lapsed or server released")

// unansweredRequest is a request that ended without an answer.
type unansweredRequest struct {
	fingerprint broker.Fingerprint
	until       time.Time
}

// crashCheck is a check in progress whether a lost connection was caused by a crash of the server.
type crashCheck struct {
	bootID   string                          // of the process that ran the requests
	suspects map[broker.Fingerprint]struct{} // requests that were running in it
	answers  []pendingAnswer                 // answers to send after the check
}

type pendingAnswer struct {
	call   *call
	answer broker.SubAnswer
}

// removeSuspect removes a request that the server completed.
func (check *crashCheck) removeSuspect(c *call) { delete(check.suspects, c.sub.Fingerprint) }

// addToCrashCheck adds a call to the crash check, which it starts if none is in progress; s.mu must be held, and
// s.calls must still contain the call.
func (s *server) addToCrashCheck(c *call, now time.Time) {
	if s.crashCheck == nil {
		s.crashCheck = &crashCheck{bootID: c.bootID, suspects: make(map[broker.Fingerprint]struct{})}
		if c.bootID == "" {
			s.crashCheck.bootID = s.admitter.BootID()
		}
		for _, other := range s.calls {
			if other.dispatched {
				s.crashCheck.suspects[other.sub.Fingerprint] = struct{}{}
			}
		}
		for _, u := range s.unanswered {
			if now.Before(u.until) {
				s.crashCheck.suspects[u.fingerprint] = struct{}{}
			}
		}
	}
	s.crashCheck.suspects[c.sub.Fingerprint] = struct{}{}
}

// addUnanswered records a request that ended without an answer; s.mu must be held.
func (s *server) addUnanswered(c *call, now time.Time) {
	s.unanswered = slices.DeleteFunc(s.unanswered, func(u unansweredRequest) bool { return !now.Before(u.until) })
	if len(s.unanswered) >= maxUnanswered {
		s.unanswered = slices.Delete(s.unanswered, 0, 1)
	}
	s.unanswered = append(s.unanswered, unansweredRequest{fingerprint: c.sub.Fingerprint, until: now.Add(unansweredTTL)})
}

// checkCrash probes whether the server crashed when a connection was lost and, if so, reports every request that was
// running there. It uses the slot of the lost request.
func (s *server) checkCrash() {
	status, err := s.readStatus()
	for attempts := 1; attempts < crashCheckProbes && inconclusive(err); attempts++ {
		status, err = s.readStatus()
	}
	now := s.owner.clock.Now()
	var e effects
	s.mu.Lock()
	check := s.crashCheck
	s.crashCheck = nil
	crashed := err != nil && !errors.Is(err, errNotPermitted) ||
		err == nil && check.bootID != "" && status.BootID != check.bootID
	s.unanswered = nil
	if err == nil {
		s.updateSnapshots(&e, &status)
		s.collectEffects(&e, s.admitter.FinishVerification(crashed, &status, now))
	} else {
		s.collectEffects(&e, s.admitter.FinishVerification(crashed, nil, now))
	}
	s.mu.Unlock()
	if crashed {
		s.reportCrash(check)
	}
	for _, pending := range check.answers {
		pending.answer.Reason = broker.ReasonUnreachable
		if crashed {
			pending.answer.Reason = broker.ReasonCrashed
		} else if pending.call.holdsTrial {
			s.owner.quarantine.AbandonTrial(pending.call.sub.Fingerprint, s.name, unansweredTTL, now)
		}
		s.owner.answer(pending.call, pending.answer)
	}
	s.applyEffects(&e, nil)
}

// inconclusive returns whether a status probe that was sent got neither a reply nor a refused connection.
func inconclusive(err error) bool {
	return err != nil && !errors.Is(err, errNotPermitted) && !errors.Is(err, broker.ErrUnreachable)
}

func (s *server) reportCrash(check *crashCheck) {
	s.owner.counters.crashes.Inc()
	for _, fingerprint := range slices.Sorted(maps.Keys(check.suspects)) {
		if fingerprint != 0 {
			s.report(broker.CrashReport{
				Fingerprint: fingerprint, Server: s.name, BootID: check.bootID, Alone: len(check.suspects) == 1,
			})
		}
	}
}

// probe reads the server's status in the slot that the admitter gave to the ticket.
func (s *server) probe(ticket admitter.Ticket) {
	status, err := s.readStatus()
	now := s.owner.clock.Now()
	var e effects
	s.mu.Lock()
	defer func() {
		s.mu.Unlock()
		s.applyEffects(&e, nil)
	}()
	s.polling = false
	s.collectEffects(&e, s.admitter.Finish(ticket, admitter.Result{Verdict: admitter.VerdictRefused}, now))
	if err == nil {
		s.failedPolls = 0
		s.updateSnapshots(&e, &status)
		s.collectEffects(&e, s.admitter.ObserveStatus(status, now))
		return
	}
	if errors.Is(err, errNotPermitted) {
		return
	}
	s.failedPolls++
	if errors.Is(err, broker.ErrUnreachable) || s.failedPolls >= maxFailedPolls {
		s.collectEffects(&e, s.admitter.ObserveUnreachable(now))
	}
}

// readStatus reads the status endpoint, or returns errNotPermitted if this node may not dispatch.
func (s *server) readStatus() (broker.BackendStatus, error) {
	if !s.mayDispatch() {
		return broker.BackendStatus{}, errNotPermitted
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.owner.options.ProbeTimeout)
	defer cancel()
	return s.owner.backend.Status(ctx, s.name, s.serverAddress())
}

// updateSnapshots takes the snapshots and the partitioning from a status; s.mu must be held.
func (s *server) updateSnapshots(e *effects, status *broker.BackendStatus) {
	snapshots := commonSnapshots(status.Shards)
	if slices.Equal(snapshots, s.snapshots) && status.Partitioning == s.partitioning {
		return
	}
	s.snapshots, s.partitioning = snapshots, status.Partitioning
	e.announce = true
}

// commonSnapshots returns the snapshots that every shard has, newest first.
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
