package quarantiner

import (
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func report(server broker.ServerName, alone bool) broker.CrashReport {
	return broker.CrashReport{Fingerprint: 1, Server: server, BootID: "b1", Alone: alone}
}

// TestState guards against a second trial run of a suspect, against quarantining because of a repeated report of one
// crash, and against entries that never expire.
func TestState(t *testing.T) {
	cleared, trial := report("a2", true), report("a2", true)
	cleared.Cleared, trial.Trial = true, true
	tests := []struct {
		name string
		run  func(q *Quarantiner)
		at   time.Duration
		want State
	}{
		{"first crash", func(q *Quarantiner) { q.Report(report("a1", false), epoch) }, 0, Suspect},
		{"same crash twice", func(q *Quarantiner) {
			q.Report(report("a1", false), epoch)
			q.Report(report("a1", false), epoch)
		}, 0, Suspect},
		{"second crash", func(q *Quarantiner) {
			q.Report(report("a1", false), epoch)
			q.Report(report("a2", true), epoch)
		}, 0, Quarantined},
		{"finished alone", func(q *Quarantiner) {
			q.Report(report("a1", false), epoch)
			q.Report(cleared, epoch)
		}, 0, Clear},
		{"cleared after the quarantine", func(q *Quarantiner) {
			q.Report(report("a1", false), epoch)
			q.Report(report("a2", true), epoch)
			q.Report(cleared, epoch)
		}, 0, Quarantined},
		{"trial run here", func(q *Quarantiner) {
			q.Report(report("a1", false), epoch)
			q.ClaimTrial(1, "a3", epoch)
		}, 0, OnTrial},
		{"trial run elsewhere", func(q *Quarantiner) {
			q.Report(report("a1", false), epoch)
			q.Report(trial, epoch)
		}, 0, OnTrial},
		{"trial abandoned", func(q *Quarantiner) {
			q.Report(report("a1", false), epoch)
			q.ClaimTrial(1, "a3", epoch)
			q.AbandonTrial(1, "a3", time.Second, epoch)
		}, time.Second, Suspect},
		{"merged and then reported", func(q *Quarantiner) {
			q.Merge(broker.Quarantine{Suspects: []broker.Fingerprint{1}}, epoch)
			q.Report(report("a1", false), epoch)
		}, 0, Suspect},
		{"merged and then a crash alone", func(q *Quarantiner) {
			q.Merge(broker.Quarantine{Suspects: []broker.Fingerprint{1}}, epoch)
			q.Report(report("a2", true), epoch)
		}, 0, Quarantined},
		{"suspect elsewhere, quarantined here", func(q *Quarantiner) {
			q.Merge(broker.Quarantine{Quarantined: []broker.Fingerprint{1}}, epoch)
			q.Merge(broker.Quarantine{Suspects: []broker.Fingerprint{1}}, epoch)
		}, 0, Quarantined},
		{"suspect expired", func(q *Quarantiner) { q.Report(report("a1", false), epoch) }, 10 * time.Minute, Clear},
		{"quarantine not expired", func(q *Quarantiner) {
			q.Report(report("a1", false), epoch)
			q.Report(report("a2", true), epoch)
		}, 59 * time.Minute, Quarantined},
	}
	for _, tt := range tests {
		q := New(DefaultOptions())
		tt.run(q)
		if got := q.State(1, epoch.Add(tt.at)); got != tt.want {
			t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
		}
	}
}

// TestDirect guards against missing a request that crashes servers, and against quarantining one because many
// servers failed at the same time or because connections broke while other runs of it were answered.
func TestDirect(t *testing.T) {
	crash := func(q *Quarantiner, at time.Duration) { q.Report(report("a1", false), epoch.Add(at)) }
	tests := []struct {
		name string
		run  func(q *Quarantiner)
		want State
	}{
		{"three crashes at different servers", func(q *Quarantiner) {
			for i, server := range []broker.ServerName{"a1", "a2", "a3"} {
				q.Report(report(server, false), epoch.Add(time.Duration(i)*time.Second))
			}
		}, Quarantined},
		{"two crashes", func(q *Quarantiner) {
			crash(q, 0)
			q.Report(report("a2", false), epoch.Add(time.Second))
		}, Suspect},
		{"many servers at once", func(q *Quarantiner) {
			for _, server := range []broker.ServerName{"a1", "a2", "a3", "a4", "a5"} {
				q.Report(report(server, false), epoch)
			}
		}, Suspect},
		{"connections to one process", func(q *Quarantiner) {
			for i := range 5 {
				crash(q, time.Duration(i)*time.Second)
			}
		}, Suspect},
		{"connections to two processes", func(q *Quarantiner) {
			for i := range 6 {
				q.Report(report([]broker.ServerName{"a1", "a2"}[i%2], false), epoch.Add(time.Duration(i)*400*time.Millisecond))
			}
		}, Suspect},
		{"answered in between", func(q *Quarantiner) {
			for i, server := range []broker.ServerName{"a1", "a2", "a3"} {
				q.Report(report(server, false), epoch.Add(time.Duration(i)*time.Second))
				if i == 1 {
					q.Report(broker.CrashReport{Fingerprint: 1, Server: "a4", Cleared: true}, epoch)
				}
			}
		}, Suspect},
	}
	for _, tt := range tests {
		q := New(DirectOptions())
		tt.run(q)
		if got := q.State(1, epoch.Add(3*time.Second)); got != tt.want {
			t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
		}
	}
}

// TestRestore guards against a quarantine that never ends because hosts restore it from each other in turn.
func TestRestore(t *testing.T) {
	ttl := DirectOptions().QuarantineTTL
	tests := []struct {
		name  string
		since time.Duration // of the quarantine at the other host
		at    time.Duration
		want  State
	}{
		{"just begun", 0, 0, Quarantined},
		{"nearly over", -ttl + time.Second, 0, Quarantined},
		{"over since it was restored", -ttl + time.Second, time.Second, Clear},
		{"over", -ttl, 0, Clear},
		{"clock of the other host is ahead", time.Hour, ttl, Clear},
	}
	for _, tt := range tests {
		first, second := New(DirectOptions()), New(DirectOptions())
		first.Restore([]broker.QuarantinedRequest{{Fingerprint: 1, Since: epoch.Add(tt.since)}}, epoch)
		second.Restore(first.Quarantined(epoch), epoch)
		if got := second.State(1, epoch.Add(tt.at)); got != tt.want {
			t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
		}
	}
	q := New(DirectOptions())
	if got := q.Restore([]broker.QuarantinedRequest{{Since: epoch}}, epoch); got != 0 || !q.Empty() {
		t.Errorf("fingerprint zero: got %d restored, want 0", got)
	}
}

// TestSpreadCrashes guards against a request that is never quarantined because its crashes are far apart.
func TestSpreadCrashes(t *testing.T) {
	ttl := DirectOptions().SuspectTTL
	tests := []struct {
		pause time.Duration // between two crashes
		want  State
	}{
		{ttl / 3, Quarantined},
		{ttl - time.Second, Quarantined},
		{ttl, Suspect},
	}
	for _, tt := range tests {
		q := New(DirectOptions())
		var got State
		for i, server := range []broker.ServerName{"a1", "a2", "a3"} {
			got = q.Report(report(server, false), epoch.Add(time.Duration(i)*tt.pause))
		}
		if got != tt.want {
			t.Errorf("three crashes, %s apart: got %v, want %v", tt.pause, got, tt.want)
		}
	}
}

// TestSimultaneousTrials guards against two nodes that both run a suspect because each claimed the trial run before it
// learned of the other's claim.
func TestSimultaneousTrials(t *testing.T) {
	nodes := map[broker.ServerName]*Quarantiner{"a2": New(DefaultOptions()), "a3": New(DefaultOptions())}
	for server, q := range nodes {
		q.Report(report("a1", false), epoch)
		if got := q.ClaimTrial(1, server, epoch); got != Suspect {
			t.Fatalf("claim of the trial run for %s: got %v, want suspect", server, got)
		}
	}
	for server := range nodes {
		for _, q := range nodes {
			q.Report(broker.CrashReport{Fingerprint: 1, Server: server, Trial: true}, epoch)
		}
	}
	for server, q := range nodes {
		if got, want := q.HoldsTrial(1, server, epoch), server == "a2"; got != want {
			t.Errorf("%s holds the trial run: got %v, want %v", server, got, want)
		}
	}
}

// TestEviction guards against unbounded memory under many crash reports, and against evicting a quarantined fingerprint
// before suspects, with concurrent lookups.
func TestEviction(t *testing.T) {
	options := DefaultOptions()
	options.MaxEntries = 10
	q := New(options)
	for _, server := range []broker.ServerName{"a1", "a2"} {
		q.Report(report(server, false), epoch)
	}
	var work sync.WaitGroup
	for worker := range 4 {
		work.Go(func() {
			for i := range 50 {
				fingerprint := broker.Fingerprint(100*(worker+1) + i)
				q.Report(broker.CrashReport{Fingerprint: fingerprint, Server: "a1"}, epoch.Add(time.Second))
				q.State(fingerprint, epoch)
			}
		})
	}
	work.Wait()
	list := q.List(epoch.Add(time.Second))
	if len(list.Suspects) != 9 || !slices.Equal(list.Quarantined, []broker.Fingerprint{1}) {
		t.Errorf("list: got %+v, want 9 suspects and 1 quarantined", list)
	}
}

// BenchmarkState measures the lookup that the request path makes for each sub-request.
func BenchmarkState(b *testing.B) {
	q := New(DefaultOptions())
	for fingerprint := range broker.Fingerprint(100) {
		q.Report(broker.CrashReport{Fingerprint: fingerprint + 1, Server: "a1"}, epoch)
	}
	b.ReportAllocs()
	for b.Loop() {
		q.State(1000, epoch)
	}
}
