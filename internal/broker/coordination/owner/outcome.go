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

// reasonOf returns the reason for which a fingerprint's standing refuses it; a trial in progress passes, so that its
// refusal is like that of a busy server.
func reasonOf(standing quarantiner.Standing) broker.Reason {
	if standing == quarantiner.Quarantined {
		return broker.ReasonQuarantined
	}
	return broker.ReasonOverloaded
}

// verdictOf returns what a result shows about the server.
func verdictOf(result *broker.BackendResult) admitter.Verdict {
	switch result.Answer.Outcome {
	case broker.OutcomeAnswered:
		return admitter.VerdictAnswered
	case broker.OutcomeFailed:
		return admitter.VerdictFailed
	case broker.OutcomeNotRun:
		return verdictOfRefusal(result.Answer.Reason)
	}
	switch result.Answer.Reason {
	case broker.ReasonCrashed:
		return admitter.VerdictLost
	case broker.ReasonSilent:
		return admitter.VerdictSilent
	case broker.ReasonCancelled:
		return admitter.VerdictCancelled
	case broker.ReasonDeadline:
		return admitter.VerdictTimedOut
	case broker.ReasonMismatch, broker.ReasonBackendError:
		return admitter.VerdictFailed
	default:
		// A repeat on a new connection that was refused is unknown for the attempt but certain for the server.
		return verdictOfRefusal(result.Answer.Reason)
	}
}

func verdictOfRefusal(reason broker.Reason) admitter.Verdict {
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
	case broker.ReasonDeadline: // the connection could not be opened in time
		return admitter.VerdictTimedOut
	default:
		return admitter.VerdictWithheld
	}
}

// whole returns whether the server ended the request itself.
func whole(verdict admitter.Verdict) bool {
	switch verdict {
	case admitter.VerdictAnswered, admitter.VerdictFailed:
		return true
	default:
		return false
	}
}
