package owner

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/pkg/configurator"
)

// TestEqualCanaries guards against a request that crashes a server for each host that sends it for the first time at the
// same moment, and against canaries of harmless requests that run one by one for longer than the first of them takes.
func TestEqualCanaries(t *testing.T) {
	const (
		harmless broker.Fingerprint = 7
		latency                     = 10 * time.Millisecond
		copies                      = 12
	)
	tests := []struct {
		name        string
		fingerprint broker.Fingerprint
		crashes     int
		answered    int
		takes       time.Duration // at most
	}{
		{"crashes servers", crashingRequest, 2, 0, 200 * time.Millisecond},
		{"harmless", harmless, 0, copies, 5 * latency}, // one canary, and then three at each server with two slots
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				backend := &fakeBackend{latency: latency}
				h := newHarness(backend, nil)
				h.adoptAll(configurator.ColdStart{Concurrency: 2, Successes: 1, Step: 2}, "a1", "a2", "a3", "a4")
				begin := time.Now()
				answers := make(chan broker.SubAnswer, copies)
				var work sync.WaitGroup
				for id := range copies {
					sub := request([]broker.ServerName{"a1", "a2", "a3", "a4"}[id%4], id, test.fingerprint)
					sub.Canary = true
					work.Add(1)
					h.Submit(sub, func(answer broker.SubAnswer) {
						answers <- answer
						work.Done()
					})
				}
				work.Wait()
				if got := time.Since(begin); got > test.takes {
					t.Errorf("time until all are answered: got %v, want at most %v", got, test.takes)
				}
				close(answers)
				answered := 0
				for answer := range answers {
					if answer.Outcome == broker.OutcomeAnswered {
						answered++
					}
				}
				if got, want := answered, test.answered; got != want {
					t.Errorf("answered canaries: got %d, want %d", got, want)
				}
				if got, want := backend.crashes, test.crashes; got != want {
					t.Errorf("crashed servers: got %d, want %d", got, want)
				}
				h.Wait()
			})
		})
	}
}

// TestCancelledCanary guards against running a canary whose caller has left while it waited for an equal one, and
// against a canary that waits for good because the one before it was cancelled.
func TestCancelledCanary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backend := &fakeBackend{latency: 10 * time.Millisecond}
		h := newHarness(backend, nil)
		h.adoptAll(configurator.ColdStart{Concurrency: 2, Successes: 1, Step: 2}, "a1")
		var answers [3]broker.SubAnswer
		var work sync.WaitGroup
		for id := range answers {
			sub := request("a1", id, 7)
			sub.Canary = true
			work.Add(1)
			h.Submit(sub, func(answer broker.SubAnswer) {
				answers[id] = answer
				work.Done()
			})
		}
		time.Sleep(time.Millisecond)
		h.Cancel("r1", "s1", 1)
		h.Cancel("r0", "s1", 1)
		work.Wait()
		want := [3]broker.Outcome{broker.OutcomeUnknown, broker.OutcomeNotRun, broker.OutcomeAnswered}
		for id, answer := range answers {
			if got := answer.Outcome; got != want[id] {
				t.Errorf("canary %d: got %v %q, want %v", id, got, answer.Reason, want[id])
			}
		}
		h.Wait()
	})
}
