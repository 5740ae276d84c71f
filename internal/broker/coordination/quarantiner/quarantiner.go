package quarantiner

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/state/holder"
)

// Standing is what is known of a fingerprint.
type Standing uint8

// Standings of a fingerprint.
const (
	// Clear means that the request may run.
	Clear Standing = iota
	// Suspect means that the request may run once more, alone at a server.
	Suspect
	// OnTrial means that the suspect's one more run is in progress, so that no other may start.
	OnTrial
	// Quarantined means that the request may not run.
	Quarantined
)

// String returns the name used in metrics and logs.
func (s Standing) String() string {
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

// Options bound the set.
type Options struct {
	Suspected   time.Duration // how long a suspect is kept
	Quarantined time.Duration // how long a quarantined fingerprint is kept
	Trial       time.Duration // how long a trial may take before it counts as ended without a result
	Entries     int           // most fingerprints kept
	// Crashes is how many crashes of different processes without an answer in between quarantine a fingerprint; zero means
	// two. Those less than Apart after the one before count as one.
	Crashes int
	Apart   time.Duration
}

// DirectOptions returns the bounds for hosts that send to servers themselves. Such a host sees only that a connection
// broke, which has other causes too: several servers can fail at once, and connections are reset.
func DirectOptions() Options {
	return Options{
		Suspected:   time.Minute,
		Quarantined: 10 * time.Minute,
		Entries:     512,
		Crashes:     3,
		Apart:       200 * time.Millisecond,
	}
}

// DefaultOptions returns the bounds for production. Other nodes do not learn of a trial that ends without a result, so
// its time is some request deadlines rather than the time of a suspect.
func DefaultOptions() Options {
	return Options{
		Suspected:   10 * time.Minute,
		Quarantined: time.Hour,
		Trial:       2 * time.Second,
		Entries:     4096,
	}
}

// mergeGrace is how long after a merge a report may still be that of the crash which made the merged suspect.
const mergeGrace = 5 * time.Second

// crash identifies one death of one process; the zero value stands for a crash that was merged from a full list.
type crash struct {
	server broker.ServerName
	bootID string
}

type entry struct {
	convicted  bool
	since      time.Time
	crashes    []crash           // those that count, the first at [0]; the zero value there was merged
	last       time.Time         // time of the last one that counts
	holder     broker.ServerName // server of the trial
	trialUntil time.Time
}

type entries map[broker.Fingerprint]entry

// Quarantiner keeps suspects and quarantined fingerprints; it is safe for concurrent use.
type Quarantiner struct {
	options Options
	held    *holder.Holder[entries]
}

// New returns an empty set.
func New(options Options) *Quarantiner {
	return &Quarantiner{options: options, held: holder.New(&entries{})}
}

// Fingerprint identifies a request by its parts; zero is reserved for none.
func Fingerprint(parts ...string) broker.Fingerprint {
	hash := xxhash.New()
	for _, part := range parts {
		_, _ = hash.WriteString(part)
		_, _ = hash.Write([]byte{0})
	}
	return broker.Fingerprint(max(1, hash.Sum64()))
}

// Empty returns whether every fingerprint is clear.
func (q *Quarantiner) Empty() bool { return len(*q.held.Load()) == 0 }

// Standing returns what is known of the fingerprint; fingerprint zero stands for none and is always clear.
func (q *Quarantiner) Standing(fingerprint broker.Fingerprint, now time.Time) Standing {
	held := *q.held.Load()
	if len(held) == 0 || fingerprint == 0 {
		return Clear
	}
	e, ok := held[fingerprint]
	if !ok || q.expired(&e, now) {
		return Clear
	}
	return standing(&e, now)
}

// Try claims the one more run of a suspect for a server and returns the standing before the claim. The caller may run
// the request for Clear; for Suspect it announces the trial, waits until the other nodes know of it, and asks Holds.
func (q *Quarantiner) Try(fingerprint broker.Fingerprint, server broker.ServerName, now time.Time) Standing {
	found := q.Standing(fingerprint, now)
	if found != Suspect {
		return found
	}
	q.held.Update(func(current *entries) *entries {
		e, ok := (*current)[fingerprint]
		if !ok || q.expired(&e, now) {
			found = Clear
			return nil
		}
		if found = standing(&e, now); found != Suspect {
			return nil
		}
		e.holder, e.trialUntil = server, now.Add(q.options.Trial)
		return with(current, fingerprint, e)
	})
	return found
}

// Holds returns whether the trial that was claimed for the server may start: of claims made at the same time by
// different nodes, the one for the server that sorts first holds.
func (q *Quarantiner) Holds(fingerprint broker.Fingerprint, server broker.ServerName, now time.Time) bool {
	e, ok := (*q.held.Load())[fingerprint]
	return ok && standing(&e, now) == OnTrial && e.holder == server
}

// Abandon ends the trial of a server in which the request did not run or did not finish, so that it may be tried
// again after wait; a crash that follows within that time is reported before the next trial.
func (q *Quarantiner) Abandon(
	fingerprint broker.Fingerprint, server broker.ServerName, wait time.Duration, now time.Time,
) {
	q.held.Update(func(current *entries) *entries {
		e, ok := (*current)[fingerprint]
		if !ok || e.convicted || e.holder != server {
			return nil
		}
		e.trialUntil = now.Add(wait)
		return with(current, fingerprint, e)
	})
}

// Report applies a crash report and returns the standing after it. A repeated report of the same crash changes
// nothing.
func (q *Quarantiner) Report(report broker.CrashReport, now time.Time) Standing {
	if report.Fingerprint == 0 {
		return Clear
	}
	q.held.Update(func(current *entries) *entries { return q.apply(current, report, now) })
	return q.Standing(report.Fingerprint, now)
}

func (q *Quarantiner) apply(current *entries, report broker.CrashReport, now time.Time) *entries {
	e, ok := (*current)[report.Fingerprint]
	if ok && q.expired(&e, now) {
		ok = false
	}
	seen := crash{server: report.Server, bootID: report.BootID}
	switch {
	case report.Cleared:
		if !ok || e.convicted {
			return nil
		}
		next := maps.Clone(*current)
		delete(next, report.Fingerprint)
		return &next
	case report.Trial:
		if !ok || e.convicted || now.Before(e.trialUntil) && e.holder < report.Server {
			return nil
		}
		e.holder, e.trialUntil = report.Server, now.Add(q.options.Trial)
	case !ok:
		e = entry{since: now, last: now, crashes: []crash{seen}}
	case e.convicted || slices.Contains(e.crashes, seen):
		return nil
	case e.crashes[0] == (crash{}) && !report.Alone && now.Sub(e.since) < mergeGrace:
		e.crashes = []crash{seen}
	case now.Sub(e.last) < q.options.Apart:
		return nil
	default:
		e.crashes, e.last = append(slices.Clone(e.crashes), seen), now
		if len(e.crashes) >= q.options.Crashes {
			e.convicted, e.since = true, now
		}
	}
	next := with(current, report.Fingerprint, e)
	q.bound(*next, report.Fingerprint, now)
	return next
}

// Merge adds the full list of another node.
func (q *Quarantiner) Merge(list broker.Quarantine, now time.Time) {
	if len(list.Suspects)+len(list.Quarantined) == 0 {
		return
	}
	q.held.Update(func(current *entries) *entries {
		next := maps.Clone(*current)
		for _, fingerprint := range list.Suspects {
			if e, ok := next[fingerprint]; !ok || q.expired(&e, now) {
				next[fingerprint] = entry{since: now, crashes: make([]crash, 1)}
			}
		}
		for _, fingerprint := range list.Quarantined {
			if e, ok := next[fingerprint]; !ok || !e.convicted || q.expired(&e, now) {
				next[fingerprint] = entry{since: now, convicted: true}
			}
		}
		delete(next, 0)
		q.bound(next, 0, now)
		return &next
	})
}

// List returns the full list for another node, sorted.
func (q *Quarantiner) List(now time.Time) broker.Quarantine {
	var list broker.Quarantine
	for fingerprint, e := range *q.held.Load() {
		switch {
		case q.expired(&e, now):
		case e.convicted:
			list.Quarantined = append(list.Quarantined, fingerprint)
		default:
			list.Suspects = append(list.Suspects, fingerprint)
		}
	}
	slices.Sort(list.Suspects)
	slices.Sort(list.Quarantined)
	return list
}

func standing(e *entry, now time.Time) Standing {
	switch {
	case e.convicted:
		return Quarantined
	case now.Before(e.trialUntil):
		return OnTrial
	default:
		return Suspect
	}
}

func (q *Quarantiner) expired(e *entry, now time.Time) bool {
	kept := q.options.Suspected
	if e.convicted {
		kept = q.options.Quarantined
	}
	return now.Sub(e.since) >= kept
}

// bound drops expired entries and then the oldest, suspects first, until the set fits; keep is dropped last.
func (q *Quarantiner) bound(set entries, keep broker.Fingerprint, now time.Time) {
	if len(set) <= q.options.Entries {
		return
	}
	maps.DeleteFunc(set, func(_ broker.Fingerprint, e entry) bool { return q.expired(&e, now) })
	for len(set) > q.options.Entries {
		oldest, found := broker.Fingerprint(0), false
		for fingerprint, e := range set {
			if fingerprint != keep && (!found || older(e, set[oldest], fingerprint, oldest)) {
				oldest, found = fingerprint, true
			}
		}
		if !found {
			return
		}
		delete(set, oldest)
	}
}

func older(a, b entry, fingerprintA, fingerprintB broker.Fingerprint) bool {
	switch {
	case a.convicted != b.convicted:
		return b.convicted
	case !a.since.Equal(b.since):
		return a.since.Before(b.since)
	default:
		return fingerprintA < fingerprintB
	}
}

func with(current *entries, fingerprint broker.Fingerprint, e entry) *entries {
	next := maps.Clone(*current)
	next[fingerprint] = e
	return &next
}
