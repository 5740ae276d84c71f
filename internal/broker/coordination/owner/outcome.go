package owner

import (
	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/admitter"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/quarantiner"
)

// refuse returns the answer to a sub-request that did not run.
func refuse(sub *broker.SubRequest, reason broker.Reason, queued int) broker.SubAnswer {
	return broker.SubAnswer{
		RequestID: sub.RequestID, Shard: sub.Shard, Server: sub.Server, Attempt: sub.Attempt,
		Snapshot: sub.Snapshot, Partitioning: sub.Partitioning,
		Outcome: broker.OutcomeNotRun, Reason: reason, Queued: queued,
	}
}

// refusalReason returns the reason for refusing a fingerprint. A request refused because of a trial run in progress may
// be retried, so it gets the reason of a busy server.
func refusalReason(state quarantiner.State) broker.Reason {
	if state == quarantiner.Quarantined {
		return broker.ReasonQuarantined
	}
	return broker.ReasonOverloaded
}

// verdictOf returns what a result says about the server.
func verdictOf(result *broker.BackendResult) admitter.Verdict {
	switch result.Answer.Outcome {
	case broker.OutcomeAnswered:
		return admitter.VerdictAnswered
	case broker.OutcomeFailed:
		return admitter.VerdictFailed
	case broker.OutcomeNotRun:
		return refusalVerdict(result.Answer.Reason)
	}
	switch result.Answer.Reason {
	case broker.ReasonCrashed:
		return admitter.VerdictConnectionLost
	case broker.ReasonSilent:
		return admitter.VerdictSilent
	case broker.ReasonCancelled:
		return admitter.VerdictCancelled
	case broker.ReasonDeadline:
		return admitter.VerdictTimedOut
	case broker.ReasonMismatch, broker.ReasonBackendError:
		return admitter.VerdictFailed
	default:
		// If a repeat on a new connection was refused, the attempt's outcome is unknown but the refusal still applies
		// to the server.
		return refusalVerdict(result.Answer.Reason)
	}
}

func refusalVerdict(reason broker.Reason) admitter.Verdict {
	switch reason {
	case broker.ReasonShed:
		return admitter.VerdictShed
	case broker.ReasonCold:
		return admitter.VerdictCold
	case broker.ReasonDraining:
		return admitter.VerdictDraining
	case broker.ReasonSnapshotMissing, broker.ReasonStalePartition:
		return admitter.VerdictRefused
	case broker.ReasonUnreachable:
		return admitter.VerdictUnreachable
	case broker.ReasonDeadline: // connecting took too long
		return admitter.VerdictTimedOut
	default:
		return admitter.VerdictNotSent
	}
}

// completed returns whether the server ran the request to its end.
func completed(verdict admitter.Verdict) bool {
	switch verdict {
	case admitter.VerdictAnswered, admitter.VerdictFailed:
		return true
	default:
		return false
	}
}
