package admitter

import (
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
)

// Defaults for settings without a value.
const (
	// DefaultQueueLimit is the default maximum number of queued requests.
	DefaultQueueLimit = 64
	// DefaultAttemptTimeout is used until a configuration gives the longest deadline of its request kinds.
	DefaultAttemptTimeout = time.Second
)

// Settings are the limits of one backend server.
type Settings struct {
	Slots           int
	ColdConcurrency int           // maximum number of concurrent requests while cold
	ColdSuccesses   int           // answers required for each step of the ramp
	ColdStep        int           // concurrency added by each step
	QueueLimit      int           // maximum number of queued requests
	AttemptTimeout  time.Duration // maximum duration of an attempt
}

func (s Settings) normalized() Settings {
	s.Slots = max(s.Slots, 1)
	s.ColdConcurrency = min(max(s.ColdConcurrency, 1), s.Slots)
	s.ColdSuccesses = max(s.ColdSuccesses, 1)
	s.ColdStep = max(s.ColdStep, 1)
	if s.QueueLimit <= 0 {
		s.QueueLimit = DefaultQueueLimit
	}
	if s.AttemptTimeout <= 0 {
		s.AttemptTimeout = DefaultAttemptTimeout
	}
	return s
}

// Ticket identifies a request from Submit until it is refused or finished.
type Ticket uint64

// Request is a request for a slot.
type Request struct {
	Ticket   Ticket
	Kind     string // latencies are only compared within a kind
	Priority int    // under overload, lower priorities are refused first
	Deadline time.Time
	Alone    bool // no other request may run at the server meanwhile
	Probe    bool // a status probe, which gets the next free slot; its deadline is ignored
}

// ActionKind is what the caller has to do.
type ActionKind uint8

// Kinds of action.
const (
	// ActionDispatch sends the ticket's request now.
	ActionDispatch ActionKind = iota + 1
	// ActionRefuse answers the ticket's request as notRun with the reason.
	ActionRefuse
	// ActionVerify probes whether the server crashed when a connection was lost; FinishVerification takes the result.
	ActionVerify
	// ActionAnnounce announces the server's state, because its phase, limit or boot ID changed.
	ActionAnnounce
)

// String returns the name used in golden files and logs.
func (k ActionKind) String() string {
	switch k {
	case ActionDispatch:
		return "dispatch"
	case ActionRefuse:
		return "refuse"
	case ActionVerify:
		return "verify"
	case ActionAnnounce:
		return "announce"
	default:
		return "invalid"
	}
}

// Action is something that the caller has to do. Ticket and Reason are set only for kinds that use them.
type Action struct {
	Kind   ActionKind
	Ticket Ticket
	Reason broker.Reason
}

// Verdict is what the end of a dispatched request says about the server.
type Verdict uint8

// Verdicts on a dispatched request.
const (
	// VerdictAnswered means that the complete answer arrived.
	VerdictAnswered Verdict = iota + 1
	// VerdictFailed means that the server reported an error.
	VerdictFailed
	// VerdictShed means that the server refused the request because of its load.
	VerdictShed
	// VerdictCold means that the server refused the request because it is cold.
	VerdictCold
	// VerdictDraining means that the server refused the request because it is draining.
	VerdictDraining
	// VerdictRefused means that the server refused the request because of its contents, such as its snapshot.
	VerdictRefused
	// VerdictConnectionLost means that the connection broke after bytes were sent.
	VerdictConnectionLost
	// VerdictSilent means that no data came on a reused connection, which says nothing about the server.
	VerdictSilent
	// VerdictTimedOut means that the deadline passed without an answer.
	VerdictTimedOut
	// VerdictUnreachable means that no connection could be opened.
	VerdictUnreachable
	// VerdictCancelled means that the entry host cancelled the request.
	VerdictCancelled
	// VerdictNotSent means that this host did not send the request, for a reason unrelated to the server.
	VerdictNotSent
)

// Result is the result of a dispatched request.
type Result struct {
	Verdict  Verdict
	Latency  time.Duration // time at the server; if zero, the time since the dispatch is used
	BootID   string        // empty if the server sent none
	Draining bool          // the server reported that it is draining
}
