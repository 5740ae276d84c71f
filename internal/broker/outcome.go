package broker

// Outcome states whether a request or attempt was executed.
type Outcome uint8

const (
	// OutcomeAnswered means that the request ran and its answer was received completely.
	OutcomeAnswered Outcome = iota + 1
	// OutcomeNotRun means that the request definitely did not run.
	OutcomeNotRun
	// OutcomeUnknown means that the request may or may not have run.
	OutcomeUnknown
	// OutcomeFailed means that the backend server ran the request and reported an error.
	OutcomeFailed
)

// String returns the camel-case name used in answers, metrics and logs.
func (o Outcome) String() string {
	switch o {
	case OutcomeAnswered:
		return "answered"
	case OutcomeNotRun:
		return "notRun"
	case OutcomeUnknown:
		return "outcomeUnknown"
	case OutcomeFailed:
		return "failed"
	default:
		return "invalid"
	}
}

// Reason says why an attempt was refused, failed or left a shard missing.
type Reason string

// Reasons used in refusals, missing shards, metric labels and logs.
const (
	ReasonNone            Reason = ""
	ReasonOverloaded      Reason = "overloaded"
	ReasonDeadline        Reason = "deadline"
	ReasonNotOwner        Reason = "notOwner"
	ReasonLeaseLapsed     Reason = "leaseLapsed"
	ReasonCold            Reason = "cold"
	ReasonLimited         Reason = "limited" // the servers state that they take fewer requests
	ReasonDraining        Reason = "draining"
	ReasonZoneOut         Reason = "zoneOut"
	ReasonLeaving         Reason = "leaving"
	ReasonQuarantined     Reason = "quarantined"
	ReasonConnectionLimit Reason = "connectionLimit"
	ReasonSnapshotMissing Reason = "snapshotMissing"
	ReasonStalePartition  Reason = "stalePartitioning"
	ReasonShed            Reason = "shed"
	ReasonUnreachable     Reason = "unreachable"
	ReasonSilent          Reason = "silent"
	ReasonCrashed         Reason = "crashed"
	ReasonLost            Reason = "connectionLost"
	ReasonMoved           Reason = "addressMoved" // the address now belongs to another server
	ReasonNotReady        Reason = "notReady"     // the node has no configuration yet
	ReasonIsolated        Reason = "isolated"     // the node cannot reach the store, other nodes or servers
	ReasonBackendError    Reason = "backendError"
	// ReasonUnmarkedRefusal is that of a server's answer with a status that means "not run" to callers, which does not state
	// that the request did not run.
	ReasonUnmarkedRefusal Reason = "unmarkedRefusal"
	ReasonNoReplica       Reason = "noReplica"
	ReasonBudget          Reason = "retryBudget"
	ReasonDuplicate       Reason = "duplicate"
	ReasonExpiredID       Reason = "expiredRequestId"
	ReasonFenced          Reason = "claimsFenced"
	ReasonCancelled       Reason = "cancelled"
	ReasonMismatch        Reason = "mismatchedAnswer"
)

// Withheld reports whether the reason is one for which this system sends nothing to a server that could take requests: the
// server is leaving, its availability zone is out, or it asked for fewer requests.
func (r Reason) Withheld() bool {
	return r == ReasonDraining || r == ReasonZoneOut || r == ReasonLimited
}

// Status is the overall result of a query as returned to the caller.
type Status string

// Query statuses.
const (
	StatusComplete             Status = "complete"
	StatusPartial              Status = "partial"
	StatusInsufficientCoverage Status = "insufficientCoverage"
	StatusNotRun               Status = "notRun"
	StatusOutcomeUnknown       Status = "outcomeUnknown"
)
