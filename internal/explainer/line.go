package explainer

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
)

// Cause is why a request earned less than its full worth.
type Cause string

// Causes.
const (
	CauseNoHost      Cause = "noHost"      // the host was starting, leaving or cut off
	CauseNoServer    Cause = "noServer"    // no server could be asked, or all refused
	CauseQuarantine  Cause = "quarantine"  // the request crashes servers
	CauseCallerLeft  Cause = "callerLeft"  // the caller left before the answer
	CauseAnswersLost Cause = "answersLost" // connections broke while servers worked
	CauseBudget      Cause = "budget"      // hedges or retries were due and not permitted
	CauseSlowServers Cause = "slowServers" // parts were missing or late with all attempts permitted
	CauseUnreachable Cause = "unreachable" // servers or delegates could not be reached
)

// line is a log line of a host on one request.
type line struct {
	Message  string    `json:"msg"`
	Time     time.Time `json:"time"`
	Route    string    `json:"route"`
	Result   string    `json:"result"`
	Reason   string    `json:"reason"`
	MS       int       `json:"ms"`
	TargetMS int       `json:"targetMs"`
	Shards   int       `json:"shards"`
	Answered int       `json:"answered"`
	Missing  []struct {
		Reason broker.Reason `json:"reason"`
	} `json:"missing"`
	HedgesDenied  int `json:"hedgesDenied"`
	RetriesDenied int `json:"retriesDenied"`
	SkippedLines  int `json:"skippedLines"`
}

// parse returns the log line in text, which may follow a prefix, and false if text holds no line on a request.
func parse(text string) (line, bool) {
	var parsed line
	start := strings.IndexByte(text, '{')
	if start < 0 || json.Unmarshal([]byte(text[start:]), &parsed) != nil {
		return line{}, false
	}
	return parsed, parsed.Message == "request" || parsed.Message == "request refused"
}

// lostWorth returns the share of its worth that the request lost: all without a success, and otherwise what its coverage
// and lateness took. lateWorth is the share of its worth that a late answer earns.
func (l *line) lostWorth(lateWorth float64) float64 {
	complete, partial := string(broker.StatusComplete), string(broker.StatusPartial)
	if l.Result != complete && l.Result != partial || l.Shards == 0 {
		return 1
	}
	coverage := float64(l.Answered) / float64(l.Shards)
	worth := coverage * coverage
	if l.TargetMS > 0 && l.MS > l.TargetMS {
		worth *= lateWorth
	}
	return 1 - worth
}

// cause returns the one cause of the loss.
func (l *line) cause() Cause {
	switch broker.Reason(l.Reason) {
	case broker.ReasonNotReady, broker.ReasonLeaving, broker.ReasonIsolated:
		return CauseNoHost
	case broker.ReasonQuarantined:
		return CauseQuarantine
	case broker.ReasonNoReplica, broker.ReasonShed, broker.ReasonCold, broker.ReasonDraining, broker.ReasonZoneOut,
		broker.ReasonLimited:
		return CauseNoServer
	}
	if l.Result == "callerGone" {
		return CauseCallerLeft
	}
	reasons := map[broker.Reason]int{broker.Reason(l.Reason): 1}
	for i := range l.Missing {
		reasons[l.Missing[i].Reason]++
	}
	switch {
	case reasons[broker.ReasonLost] > 0:
		return CauseAnswersLost
	case reasons[broker.ReasonUnreachable] > 0:
		return CauseUnreachable
	case reasons[broker.ReasonShed] > 0 || reasons[broker.ReasonNoReplica] > 0:
		return CauseNoServer
	case l.HedgesDenied > 0 || l.RetriesDenied > 0:
		return CauseBudget
	default:
		return CauseSlowServers
	}
}
