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

// identity is what an answer says of the request that it belongs to.
type identity struct {
	RequestID string `json:"requestId"`
	Attempt   uint32 `json:"attempt"`
}

// identityOf returns the identity in an answer, which is empty if the answer names no request.
func identityOf(r *reply) identity {
	var found identity
	_ = json.Unmarshal(r.body, &found) // an answer in another format names no request
	return found
}

// namesRequest returns whether an answer says that it belongs to the sub-request.
func namesRequest(sub *broker.SubRequest, r *reply) bool {
	return identityOf(r) == identity{RequestID: sub.RequestID, Attempt: sub.Attempt}
}

// namesAnother returns whether an answer says that it belongs to another request, or to an earlier attempt.
func namesAnother(sub *broker.SubRequest, r *reply) bool {
	return identityOf(r).RequestID != "" && !namesRequest(sub, r)
}

// interpret maps a complete HTTP answer to an outcome.
func interpret(sub *broker.SubRequest, r *reply) broker.BackendResult {
	if namesAnother(sub, r) {
		return broker.BackendResult{Answer: answerFor(sub, broker.OutcomeUnknown, broker.ReasonMismatch)}
	}
	switch r.status {
	case http.StatusOK:
		return interpretAnswer(sub, r.body)
	case http.StatusServiceUnavailable, http.StatusConflict:
		var refusal Refusal
		if json.Unmarshal(r.body, &refusal) != nil || !refusal.NotStarted {
			break
		}
		return broker.BackendResult{
			Answer: answerFor(sub, broker.OutcomeNotRun, refusalReason(r.status, refusal.Reason)),
			BootID: refusal.BootID, Draining: refusal.Draining,
		}
	}
	return broker.BackendResult{Answer: answerFor(sub, broker.OutcomeFailed, broker.ReasonBackendError)}
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
