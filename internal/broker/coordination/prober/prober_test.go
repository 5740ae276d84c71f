package prober

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/yuccarock/yuccarock/internal/broker"
)

// TestStates guards against callers or delegations that are sent to a host that does not take requests, and against a
// host that is left out although it does.
func TestStates(t *testing.T) {
	const answers, refuses, misses = "answers", "refuses", "misses"
	tests := []struct {
		name                           string
		probes                         []string
		wantHealthy, wantSus, wantSure bool // usable, suspect, answered its last probe
	}{
		{name: "never probed", wantHealthy: true},
		{name: "answers", probes: []string{answers}, wantHealthy: true, wantSure: true},
		{name: "refuses", probes: []string{answers, refuses}},
		{name: "one miss", probes: []string{answers, misses}, wantSus: true},
		{name: "two misses", probes: []string{answers, misses, misses}},
		{name: "three misses", probes: []string{answers, misses, misses, misses}},
		{name: "back after misses", probes: []string{misses, misses, answers}, wantHealthy: true, wantSure: true},
		{name: "ready after a refusal", probes: []string{refuses, answers}, wantHealthy: true, wantSure: true},
		{name: "first probe missed", probes: []string{misses}, wantSus: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			next := answers
			p := New(func(context.Context, broker.HostRecord) (Answer, error) {
				if next == misses {
					return Answer{}, errors.New("no answer")
				}
				return Answer{Ready: next == answers}, nil
			}, Options{Self: "self", Timeout: time.Second}, metrics.NewSet(), slog.New(slog.DiscardHandler))
			record := broker.HostRecord{Name: "a", Process: "first"}
			p.SetHosts(map[string]broker.HostRecord{"a": record, "self": {Name: "self"}})
			for _, next = range tt.probes {
				p.Probe(t.Context(), []string{"a", "unknown"})
			}
			named := func(host broker.HostRecord) bool { return host.Name == "a" }
			healthy, suspect := p.Usable()
			if got := slices.ContainsFunc(healthy, named); got != tt.wantHealthy {
				t.Errorf("usable: got %v, want %v", got, tt.wantHealthy)
			}
			if got := slices.ContainsFunc(suspect, named); got != tt.wantSus {
				t.Errorf("suspect: got %v, want %v", got, tt.wantSus)
			}
			if got := p.Ready(time.Minute)["a"]; got != tt.wantSure {
				t.Errorf("answered its last probe: got %v, want %v", got, tt.wantSure)
			}
			record.Process = "second"
			p.SetHosts(map[string]broker.HostRecord{"a": record})
			if healthy, _ := p.Usable(); !slices.ContainsFunc(healthy, named) {
				t.Error("the next process of the host is left out for what the first one did")
			}
		})
	}
}

// TestAnswerAge guards against a host that is taken for ready by an answer of long ago, after which it was not probed.
func TestAnswerAge(t *testing.T) {
	const maxAge = 5 * time.Second
	synctest.Test(t, func(t *testing.T) {
		answering := true
		p := New(func(context.Context, broker.HostRecord) (Answer, error) {
			if !answering {
				return Answer{}, errors.New("no answer")
			}
			return Answer{Ready: true}, nil
		}, Options{Timeout: time.Second}, metrics.NewSet(), slog.New(slog.DiscardHandler))
		p.SetHosts(map[string]broker.HostRecord{"a": {Name: "a"}})
		check := func(moment string, wantHealthy, wantSuspect int) {
			t.Helper()
			healthy, suspect := p.Confirmed(maxAge)
			if len(healthy) != wantHealthy || len(suspect) != wantSuspect {
				t.Errorf("%s: got %d healthy and %d suspect, want %d and %d", moment, len(healthy), len(suspect), wantHealthy, wantSuspect)
			}
			if got := len(p.Ready(maxAge)); got != wantHealthy {
				t.Errorf("%s: got %d ready, want %d", moment, got, wantHealthy)
			}
		}
		check("before the first probe", 0, 0)
		p.Probe(t.Context(), []string{"a"})
		check("after an answer", 1, 0)
		time.Sleep(maxAge + time.Second)
		check("long after an answer", 0, 0)
		answering = false
		p.Probe(t.Context(), []string{"a"})
		check("a missed probe long after an answer", 0, 0)
		answering = true
		p.Probe(t.Context(), []string{"a"})
		answering = false
		p.Probe(t.Context(), []string{"a"})
		check("a missed probe just after an answer", 0, 1)
	})
}
