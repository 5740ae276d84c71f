package admitter

import (
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
)

// Defaults of the settings that the configuration does not state.
const (
	DefaultQueueLimit = 64
	// DefaultAttemptTimeout is used until a table gives the longest deadline of its request kinds.
	DefaultAttemptTimeout = time.Second
)

// Settings are the limits of one backend server.
type Settings struct {
	Slots           int
	ColdConcurrency int           // most requests at once while cold
	ColdSuccesses   int           // answers needed for each step of the ramp
	ColdStep        int           // concurrency added by each step
	QueueLimit      int           // most requests waiting
	AttemptTimeout  time.Duration // longest time that an attempt may run
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

// Ticket identifies one request between Submit and its refusal or Finish.
type Ticket uint64

// Request is one request that asks for a slot.
type Request struct {
	Ticket   Ticket
	Kind     string // latencies are compared with those of the same kind
	Priority int    // higher is kept longer
	Deadline time.Time
	Alone    bool // no other request may run at the server at the same time
	Probe    bool // a status probe, which gets the next free slot and has no deadline
}

// ActionKind says what the caller has to do.
type ActionKind uint8

// Kinds of action.
const (
	// ActionDispatch starts the request of the ticket now.
	ActionDispatch ActionKind = iota + 1
	// ActionRefuse answers the ticket as notRun with the reason.
	ActionRefuse
	// ActionVerify asks for a status probe that tells a crash from a lost connection; Confirm reports its result.
	ActionVerify
	// ActionAnnounce says that phase, limit or boot ID changed.
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

// Action is one decision.
type Action struct {
	Kind   ActionKind
	Ticket Ticket
	Reason broker.Reason
}

// Verdict is what one dispatched request showed about the server.
type Verdict uint8

// Verdicts on a dispatched request.
const (
	// VerdictAnswered means that the whole answer arrived.
	VerdictAnswered Verdict = iota + 1
	// VerdictFailed means that the server reported an error.
	VerdictFailed
	// VerdictShed means that the server refused the request because of its load.
	VerdictShed
	// VerdictCold means that the server refused the request because it is cold.
	VerdictCold
	// VerdictDraining means that the server refused the request because it is leaving.
	VerdictDraining
	// VerdictRefused means that the server refused the request for a reason of the request, such as its snapshot.
	VerdictRefused
	// VerdictLost means that the connection broke after bytes were sent.
	VerdictLost
	// VerdictSilent means that a reused connection went silent, which says nothing about the server.
	VerdictSilent
	// VerdictTimedOut means that the deadline passed without an answer.
	VerdictTimedOut
	// VerdictUnreachable means that no connection could be opened.
	VerdictUnreachable
	// VerdictCancelled means that the entry withdrew the request.
	VerdictCancelled
	// VerdictWithheld means that the request never left this host for a reason of its own.
	VerdictWithheld
)

// Result is the end of a dispatched request.
type Result struct {
	Verdict  Verdict
	Latency  time.Duration // time at the server; zero lets the admitter measure it
	BootID   string        // empty where the server stated none
	Draining bool          // the server said that it is leaving
}
