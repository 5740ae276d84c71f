package scatterer

import (
	"fmt"
	"testing"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
)

// setLimit makes a server state a limit of two requests a second, of which this host may use all. Without a token, it may
// send the next one after 500 ms.
func setLimit(f *fixture, server broker.ServerName, available bool) {
	stated := epoch
	if available {
		stated = epoch.Add(-time.Minute)
	}
	record := f.tracker.Server(server)
	record.ReportNotice(broker.ServerNotice{Limited: true, Limit: 2}, stated, stated)
	record.Available(stated)
}

// TestLackOfServers guards against queries that use the limits of some servers and then fail for want of others, and
// against ones that wait although too few servers take them.
func TestLackOfServers(t *testing.T) {
	tests := []struct {
		name     string
		full     int // shards, of four, whose servers take no request now; two are needed
		wantSent int
		wantWait time.Duration
	}{
		{"all take it", 0, 4, 0},
		{"enough take it", 2, 2, 0},
		{"too few take it", 3, 0, 500 * time.Millisecond},
		{"none takes it", 4, 0, 500 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := directFixture(4)
			for i := range 4 {
				for _, replica := range []string{"a", "b"} {
					setLimit(f, broker.ServerName(fmt.Sprintf("s%d%s", i, replica)), i >= tt.full)
				}
			}
			s, actions := startDirect(f, Strategy{MaxAttempts: 2, Target: time.Second})
			if got := len(actions.Sends); got != tt.wantSent {
				t.Errorf("attempts: got %d, want %d", got, tt.wantSent)
			}
			rejected := actions.Finish != nil && actions.Finish.Status == broker.StatusNotRun
			if want := tt.wantSent == 0; rejected != want {
				t.Errorf("rejected at once: got %v, want %v", rejected, want)
			}
			if rejected && actions.Finish.Reason != broker.ReasonLimited {
				t.Errorf("reason: got %q, want %q", actions.Finish.Reason, broker.ReasonLimited)
			}
			if got := s.AvailableIn(); got != tt.wantWait {
				t.Errorf("time until servers are available: got %s, want %s", got, tt.wantWait)
			}
			if rejected && tt.full < 4 && !f.tracker.Server("s3a").Available(epoch) {
				t.Error("the rejected query has used the limit of a server")
			}
		})
	}
}

// TestLimitsOfFurtherAttempts guards against hedges to servers that state a limit, and against a token that is lost for a
// retry that the budget denies.
func TestLimitsOfFurtherAttempts(t *testing.T) {
	f := directFixture(1)
	setLimit(f, "s0a", true)
	setLimit(f, "s0b", true)
	s, actions := startDirect(f, Strategy{MaxAttempts: 2, Target: 100 * time.Millisecond})
	s.Wake(epoch.Add(60 * time.Millisecond))
	if got := s.Stats().Sent; got != 1 {
		t.Fatalf("attempts after the hedge delay: got %d, want 1", got)
	}
	first := actions.Sends[0].Sub
	other := f.tracker.Server(map[broker.ServerName]broker.ServerName{"s0a": "s0b", "s0b": "s0a"}[first.Server])
	for s.takeRetryToken(&s.shards[0]) {
	}
	answer := NotSent(first)
	answer.Outcome, answer.Reason = broker.OutcomeNotRun, broker.ReasonShed
	s.Answer(epoch.Add(70*time.Millisecond), &answer)
	tokens := 0
	for other.TakeToken(epoch.Add(70 * time.Millisecond)) {
		tokens++
	}
	if want := 2; s.Stats().RetriesDenied != 1 || tokens != want {
		t.Errorf("tokens after %d denied retries: got %d, want %d", s.Stats().RetriesDenied, tokens, want)
	}
}
