package dispatcher

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"github.com/yuccarock/yuccarock/internal/broker"
)

// answerFor returns an answer with the identifying fields of the sub-request.
func answerFor(sub *broker.SubRequest, outcome broker.Outcome, reason broker.Reason) broker.SubAnswer {
	return broker.SubAnswer{
		RequestID: sub.RequestID, Shard: sub.Shard, Server: sub.Server, Attempt: sub.Attempt,
		Snapshot: sub.Snapshot, Partitioning: sub.Partitioning, Outcome: outcome, Reason: reason,
	}
}

func notRun(sub *broker.SubRequest, reason broker.Reason) broker.BackendResult {
	return broker.BackendResult{Answer: answerFor(sub, broker.OutcomeNotRun, reason)}
}

// failedResult returns the result of an exchange without a complete answer. The outcome is notRun only if no byte was
// written.
func failedResult(ctx context.Context, sub *broker.SubRequest, e *exchange, err error) broker.BackendResult {
	outcome := broker.OutcomeNotRun
	if e.sent {
		outcome = broker.OutcomeUnknown
	}
	return broker.BackendResult{
		Answer:    answerFor(sub, outcome, reasonOf(ctx, err)),
		BytesSent: e.sent,
		Reused:    e.reused,
	}
}

func reasonOf(ctx context.Context, err error) broker.Reason {
	switch kindOf(err) {
	case KindUnreachable:
		return broker.ReasonUnreachable
	case KindSilent:
		return broker.ReasonSilent
	case KindWithheld:
		return broker.ReasonLeaseLapsed
	case KindTooLarge, KindMalformed, KindStatus:
		return broker.ReasonBackendError
	case KindConnectionLimit:
		if errors.Is(ctx.Err(), context.Canceled) {
			return broker.ReasonCancelled
		}
		return broker.ReasonConnectionLimit
	case KindInterrupted:
		if errors.Is(ctx.Err(), context.Canceled) {
			return broker.ReasonCancelled
		}
		return broker.ReasonDeadline
	default:
		return broker.ReasonCrashed
	}
}

// requestOf returns the ID of the request that an answer names, or an empty one.
func requestOf(r *reply) string {
	var answer struct {
		RequestID string `json:"requestId"`
	}
	_ = json.Unmarshal(r.body, &answer) // an answer in another format names no request
	return answer.RequestID
}

// interpret maps a complete HTTP answer to an outcome.
func interpret(sub *broker.SubRequest, r *reply) broker.BackendResult {
	if r.status == http.StatusOK {
		return interpretAnswer(sub, r.body)
	}
	failed := broker.BackendResult{Answer: answerFor(sub, broker.OutcomeFailed, broker.ReasonBackendError)}
	var refusal Refusal
	if json.Unmarshal(r.body, &refusal) != nil {
		return failed
	}
	named := refusal.RequestID != ""
	if named && (refusal.RequestID != sub.RequestID || refusal.Attempt != sub.Attempt) {
		return broker.BackendResult{Answer: answerFor(sub, broker.OutcomeUnknown, broker.ReasonMismatch)}
	}
	if r.status != http.StatusServiceUnavailable && r.status != http.StatusConflict || !refusal.NotStarted {
		return failed
	}
	outcome := broker.OutcomeNotRun
	if !named && r.followsOthers && !sub.Idempotent {
		outcome = broker.OutcomeUnknown // it could be a late copy, and the request be running
	}
	return broker.BackendResult{
		Answer: answerFor(sub, outcome, refusalReason(r.status, refusal.Reason)),
		BootID: refusal.BootID, Draining: refusal.Draining,
	}
}

func interpretAnswer(sub *broker.SubRequest, body []byte) broker.BackendResult {
	var answer SearchAnswer
	if json.Unmarshal(body, &answer) != nil {
		return broker.BackendResult{Answer: answerFor(sub, broker.OutcomeUnknown, broker.ReasonBackendError)}
	}
	if answer.RequestID != sub.RequestID || answer.Shard != sub.Shard || answer.Attempt != sub.Attempt ||
		answer.Snapshot != sub.Snapshot || answer.Partitioning != sub.Partitioning {
		return broker.BackendResult{Answer: answerFor(sub, broker.OutcomeUnknown, broker.ReasonMismatch)}
	}
	result := broker.BackendResult{
		Answer: answerFor(sub, broker.OutcomeAnswered, broker.ReasonNone),
		BootID: answer.BootID, Draining: answer.Draining,
	}
	result.Answer.Hits = answer.Hits
	return result
}

// refusalReason replaces reasons that the protocol does not define for the status, so that a server cannot imply
// another outcome.
func refusalReason(status int, reason broker.Reason) broker.Reason {
	if status == http.StatusConflict {
		if reason == broker.ReasonStalePartition {
			return reason
		}
		return broker.ReasonSnapshotMissing
	}
	switch reason {
	case broker.ReasonDraining, broker.ReasonCold:
		return reason
	default:
		return broker.ReasonShed
	}
}
