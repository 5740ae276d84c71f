package quarantiner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/state/holder"
)

// State is the state of a fingerprint.
type State uint8

// States of a fingerprint.
const (
	// Clear means that the request may run.
	Clear State = iota
	// Suspect means that the request may have a trial run, alone at a server.
	Suspect
	// OnTrial means that the suspect's trial run is in progress, so that no other may start.
	OnTrial
	// Quarantined means that the request may not run.
	Quarantined
)

// String returns the name used in metrics and logs.
func (s State) String() string {
	switch s {
	case Clear:
		return "clear"
	case Suspect:
		return "suspect"
	case OnTrial:
		return "onTrial"
	case Quarantined:
		return "quarantined"
	default:
		return "invalid"
	}
}

// Options are the limits of the set.
type Options struct {
	SuspectTTL    time.Duration // how long a suspect is kept after its last crash
	QuarantineTTL time.Duration // how long a quarantined fingerprint is kept
	TrialTimeout  time.Duration // how long after its start a trial run without a result counts as ended
	MaxEntries    int           // maximum number of fingerprints
	// CrashThreshold is the number of crashes of different processes, without an answer in between, that quarantine a
	// fingerprint; zero means two. A crash less than MinCrashInterval after the last counted one is not counted.
	CrashThreshold   int
	MinCrashInterval time.Duration
}

// DirectOptions returns the options for hosts that send requests to servers directly. Such a host cannot distinguish a
// crash from another loss of the connection: several servers can fail at once, and connections are reset.
func DirectOptions() Options {
	return Options{
		SuspectTTL:       time.Minute,
		QuarantineTTL:    10 * time.Minute,
		MaxEntries:       512,
		CrashThreshold:   3,
		MinCrashInterval: 200 * time.Millisecond,
	}
}

// DefaultOptions returns the production options. Other nodes are not told of a trial run that ends without a result, so
// TrialTimeout is a few request deadlines rather than SuspectTTL.
func DefaultOptions() Options {
	return Options{
		SuspectTTL:    10 * time.Minute,
		QuarantineTTL: time.Hour,
		TrialTimeout:  2 * time.Second,
		MaxEntries:    4096,
	}
}

// mergeReportWindow is how long after a merge the first report for a merged suspect may be about the crash that made it
// a suspect.
const mergeReportWindow = 5 * time.Second

// crash identifies the crash of a process; the zero value is an unidentified one from a merged list.
type crash struct {
	server broker.ServerName
	bootID string
}

type entry struct {
	quarantined bool
	since       time.Time
	crashes     []crash           // counted crashes, oldest first; the first may be the zero value
	lastCrash   time.Time         // time of the last counted crash
	trialServer broker.ServerName // server of the trial run
	trialUntil  time.Time
}

type entries map[broker.Fingerprint]entry

// Quarantiner is the set of suspect and quarantined fingerprints. It is safe for concurrent use.
type Quarantiner struct {
	options Options
	current *holder.Holder[entries]
}

// New returns an empty Quarantiner.
func New(options Options) *Quarantiner {
	return &Quarantiner{options: options, current: holder.New(&entries{})}
}

// Fingerprint returns the hash of a request's parts. It is never zero, which stands for no fingerprint.
func Fingerprint(parts ...string) broker.Fingerprint {
	hash := xxhash.New()
	for _, part := range parts {
		_, _ = hash.WriteString(part)
		_, _ = hash.Write([]byte{0})
	}
	return broker.Fingerprint(max(1, hash.Sum64()))
}

// Empty returns whether every fingerprint is clear.
func (q *Quarantiner) Empty() bool { return len(*q.current.Load()) == 0 }

// State returns the state of the fingerprint; zero is always clear.
func (q *Quarantiner) State(fingerprint broker.Fingerprint, now time.Time) State {
	set := *q.current.Load()
	if len(set) == 0 || fingerprint == 0 {
		return Clear
	}
	e, ok := set[fingerprint]
	if !ok || q.expired(&e, now) {
		return Clear
	}
	return stateOf(&e, now)
}

// Crashes returns the number of counted crashes of the fingerprint.
func (q *Quarantiner) Crashes(fingerprint broker.Fingerprint, now time.Time) int {
	e, ok := (*q.current.Load())[fingerprint]
	if !ok || q.expired(&e, now) {
		return 0
	}
	return len(e.crashes)
}

// ClaimTrial claims the trial run of a suspect for a server and returns the state before the claim. For Clear, the
// caller may run the request; for Suspect, it announces the trial run, waits until the other nodes know of it, and then
// calls HoldsTrial.
func (q *Quarantiner) ClaimTrial(fingerprint broker.Fingerprint, server broker.ServerName, now time.Time) State {
	state := q.State(fingerprint, now)
	if state != Suspect {
		return state
	}
	q.current.Update(func(current *entries) *entries {
		e, ok := (*current)[fingerprint]
		if !ok || q.expired(&e, now) {
			state = Clear
			return nil
		}
		if state = stateOf(&e, now); state != Suspect {
			return nil
		}
		e.trialServer, e.trialUntil = server, now.Add(q.options.TrialTimeout)
		return withEntry(current, fingerprint, e)
	})
	return state
}

// HoldsTrial returns whether the trial run that was claimed for the server may start. If different nodes claimed it at
// the same time, the server whose name sorts first gets it.
func (q *Quarantiner) HoldsTrial(fingerprint broker.Fingerprint, server broker.ServerName, now time.Time) bool {
	e, ok := (*q.current.Load())[fingerprint]
	return ok && stateOf(&e, now) == OnTrial && e.trialServer == server
}

// AbandonTrial ends a trial run in which the request did not run or did not finish. The next one may start after wait,
// so that a crash within that time is reported before the next trial run.
func (q *Quarantiner) AbandonTrial(
	fingerprint broker.Fingerprint, server broker.ServerName, wait time.Duration, now time.Time,
) {
	q.current.Update(func(current *entries) *entries {
		e, ok := (*current)[fingerprint]
		if !ok || e.quarantined || e.trialServer != server {
			return nil
		}
		e.trialUntil = now.Add(wait)
		return withEntry(current, fingerprint, e)
	})
}

// Report applies a crash report and returns the state after it. A repeated report of the same crash has no effect.
func (q *Quarantiner) Report(report broker.CrashReport, now time.Time) State {
	if report.Fingerprint == 0 {
		return Clear
	}
	q.current.Update(func(current *entries) *entries { return q.apply(current, report, now) })
	return q.State(report.Fingerprint, now)
}

func (q *Quarantiner) apply(current *entries, report broker.CrashReport, now time.Time) *entries {
	e, ok := (*current)[report.Fingerprint]
	if ok && q.expired(&e, now) {
		ok = false
	}
	reported := crash{server: report.Server, bootID: report.BootID}
	switch {
	case report.Cleared:
		if !ok || e.quarantined {
			return nil
		}
		next := maps.Clone(*current)
		delete(next, report.Fingerprint)
		return &next
	case report.Trial:
		if !ok || e.quarantined || now.Before(e.trialUntil) && e.trialServer < report.Server {
			return nil
		}
		e.trialServer, e.trialUntil = report.Server, now.Add(q.options.TrialTimeout)
	case !ok:
		e = entry{since: now, lastCrash: now, crashes: []crash{reported}}
	case e.quarantined || slices.Contains(e.crashes, reported):
		return nil
	case e.crashes[0] == (crash{}) && !report.Alone && now.Sub(e.since) < mergeReportWindow:
		e.crashes = []crash{reported}
	case now.Sub(e.lastCrash) < q.options.MinCrashInterval:
		return nil
	default:
		e.crashes, e.lastCrash = append(slices.Clone(e.crashes), reported), now
		if len(e.crashes) >= q.options.CrashThreshold {
			e.quarantined, e.since = true, now
		}
	}
	next := withEntry(current, report.Fingerprint, e)
	q.evict(*next, report.Fingerprint, now)
	return next
}

// Merge adds the list of another node.
func (q *Quarantiner) Merge(list broker.Quarantine, now time.Time) {
	if len(list.Suspects)+len(list.Quarantined) == 0 {
		return
	}
	q.current.Update(func(current *entries) *entries {
		next := maps.Clone(*current)
		for _, fingerprint := range list.Suspects {
			if e, ok := next[fingerprint]; !ok || q.expired(&e, now) {
				next[fingerprint] = entry{since: now, crashes: make([]crash, 1)}
			}
		}
		for _, fingerprint := range list.Quarantined {
			if e, ok := next[fingerprint]; !ok || !e.quarantined || q.expired(&e, now) {
				next[fingerprint] = entry{since: now, quarantined: true}
			}
		}
		delete(next, 0)
		q.evict(next, 0, now)
		return &next
	})
}

// List returns all suspects and quarantined fingerprints, sorted, to be merged by another node.
func (q *Quarantiner) List(now time.Time) broker.Quarantine {
	var list broker.Quarantine
	for fingerprint, e := range *q.current.Load() {
		switch {
		case q.expired(&e, now):
		case e.quarantined:
			list.Quarantined = append(list.Quarantined, fingerprint)
		default:
			list.Suspects = append(list.Suspects, fingerprint)
		}
	}
	slices.Sort(list.Suspects)
	slices.Sort(list.Quarantined)
	return list
}

// Quarantined returns the quarantined fingerprints, sorted, to be restored by another host or a later process.
func (q *Quarantiner) Quarantined(now time.Time) []broker.QuarantinedRequest {
	var list []broker.QuarantinedRequest
	for fingerprint, e := range *q.current.Load() {
		if e.quarantined && !q.expired(&e, now) {
			list = append(list, broker.QuarantinedRequest{Fingerprint: fingerprint, Since: e.since})
		}
	}
	slices.SortFunc(list, func(a, b broker.QuarantinedRequest) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return list
}

// Restore adds quarantined fingerprints of another host or an earlier process and returns how many are new. They expire
// as they would have there, so that hosts that restore from each other keep none for ever.
func (q *Quarantiner) Restore(list []broker.QuarantinedRequest, now time.Time) int {
	added := 0
	q.current.Update(func(current *entries) *entries {
		next := maps.Clone(*current)
		added = 0
		for _, request := range list {
			restored := entry{since: request.Since, quarantined: true}
			if restored.since.After(now) {
				restored.since = now
			}
			e, ok := next[request.Fingerprint]
			if request.Fingerprint == 0 || q.expired(&restored, now) || ok && e.quarantined && !q.expired(&e, now) {
				continue
			}
			next[request.Fingerprint] = restored
			added++
		}
		if added == 0 {
			return nil
		}
		q.evict(next, 0, now)
		return &next
	})
	return added
}

func stateOf(e *entry, now time.Time) State {
	switch {
	case e.quarantined:
		return Quarantined
	case now.Before(e.trialUntil):
		return OnTrial
	default:
		return Suspect
	}
}

func (q *Quarantiner) expired(e *entry, now time.Time) bool {
	if e.quarantined {
		return now.Sub(e.since) >= q.options.QuarantineTTL
	}
	last := e.since
	if e.lastCrash.After(last) {
		last = e.lastCrash
	}
	return now.Sub(last) >= q.options.SuspectTTL
}

// evict removes expired entries and then the oldest ones, suspects first, until the set has at most MaxEntries; keep is
// not removed while others are left.
func (q *Quarantiner) evict(set entries, keep broker.Fingerprint, now time.Time) {
	if len(set) <= q.options.MaxEntries {
		return
	}
	maps.DeleteFunc(set, func(_ broker.Fingerprint, e entry) bool { return q.expired(&e, now) })
	for len(set) > q.options.MaxEntries {
		oldest, found := broker.Fingerprint(0), false
		for fingerprint, e := range set {
			if fingerprint != keep && (!found || evictBefore(e, set[oldest], fingerprint, oldest)) {
				oldest, found = fingerprint, true
			}
		}
		if !found {
			return
		}
		delete(set, oldest)
	}
}

func evictBefore(a, b entry, fingerprintA, fingerprintB broker.Fingerprint) bool {
	switch {
	case a.quarantined != b.quarantined:
		return b.quarantined
	case !a.since.Equal(b.since):
		return a.since.Before(b.since)
	default:
		return fingerprintA < fingerprintB
	}
}

func withEntry(current *entries, fingerprint broker.Fingerprint, e entry) *entries {
	next := maps.Clone(*current)
	next[fingerprint] = e
	return &next
}
