package scatterer

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/pkg/configurator"
)

// observedAttempt is one attempt as the checker knows it.
type observedAttempt struct {
	owner    broker.NodeID
	sub      *broker.SubRequest
	inFlight bool
	mayRun   bool // it was cancelled or ended with an outcome other than notRun
}

// sessionChecker sends random events to a session and checks its actions.
type sessionChecker struct {
	*rapid.T
	fixture *fixture
	session *Session
	now     time.Time
	wakeAt  time.Time
	sent    []*observedAttempt
	crashes int
	finish  *broker.Answer

	canary   bool // the request may crash servers
	harmless bool // a server has survived it
}

// inFlight returns the number of attempts in flight.
func (c *sessionChecker) inFlight() (count int) {
	for _, attempt := range c.sent {
		if attempt.inFlight {
			count++
		}
	}
	return count
}

// TestSessionProperties checks the guarantees of a session under random orders of events: one snapshot, correct
// coverage, no second attempt of a non-idempotent request that may run, at most two servers at a time that a canary may
// crash, attempts within budgets, notRun only if nothing ran, and one answer.
func TestSessionProperties(t *testing.T) {
	if checks := flag.Lookup("rapid.checks").Value; checks.String() == "100" {
		_ = checks.Set("5000") // the default covers too few reruns and superseded attempts
	}
	rapid.Check(t, func(t *rapid.T) {
		kind := configurator.RequestKind{
			Idempotent:    rapid.Bool().Draw(t, "idempotent"),
			MinCoverage:   rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "minCoverage"),
			HedgeQuantile: rapid.SampledFrom([]float64{0, 0.9}).Draw(t, "hedgeQuantile"),
			HedgeBudget:   0.1,
			RetryBudget:   0.1,
			Canary:        rapid.SampledFrom([]configurator.Canary{"never", "always"}).Draw(t, "canary"),
		}
		shards := rapid.IntRange(1, 5).Draw(t, "shards")
		c := &sessionChecker{T: t, fixture: newFixture(shards, 3, kind, configurator.RoutingScatter), now: epoch}
		request := Request{
			Query:    broker.Query{RequestID: "r1"},
			Deadline: epoch.Add(200 * time.Millisecond),
			Suspect:  rapid.IntRange(0, 4).Draw(t, "suspect") == 0,
		}
		if request.Suspect {
			c.crashes = 1
		}
		c.canary = kind.Canary == configurator.CanaryAlways && shards > 1
		c.session = c.fixture.session(rapid.Uint64().Draw(t, "seed"), request, epoch)
		budgets := c.fixture.budgets.Kind("search")
		tokens := budgets.Hedges.Tokens() + budgets.Retries.Tokens()
		c.checkActions(c.session.Start(c.now))
		for steps := 0; c.finish == nil && steps < 200; steps++ {
			c.step()
		}
		if c.finish == nil {
			c.now = request.Deadline
			c.checkActions(c.session.Wake(c.now))
		}
		c.checkEnd(tokens + 1) // one query deposits less than one token
	})
}

func (c *sessionChecker) step() {
	c.now = c.now.Add(time.Duration(rapid.IntRange(0, 8).Draw(c.T, "ms")) * time.Millisecond)
	switch rapid.IntRange(0, 12).Draw(c.T, "event") {
	case 0:
		owner := rapid.SampledFrom([]broker.NodeID{"na", "nb", "nc"}).Draw(c.T, "owner")
		for _, attempt := range c.sent {
			if attempt.owner == owner && attempt.inFlight {
				attempt.inFlight, attempt.mayRun = false, true
			}
		}
		c.checkActions(c.session.LinkDown(c.now, owner))
	case 1:
		server := c.sent[0].sub.Server
		c.fixture.announce(server, func(state *broker.ServerState) {
			state.Phase = rapid.SampledFrom([]broker.Phase{"warm", "cold", "draining"}).Draw(c.T, "phase")
			state.Snapshots = rapid.SampledFrom([][]broker.Snapshot{{4}, {5}, {4, 5, 6}}).Draw(c.T, "snapshots")
		})
	case 2, 3:
		if c.wakeAt.Sub(c.now) > 100*time.Millisecond {
			return
		}
		if c.wakeAt.After(c.now) {
			c.now = c.wakeAt
		}
		c.checkActions(c.session.Wake(c.now))
	case 4:
		if rapid.IntRange(0, 9).Draw(c.T, "abandon") == 0 {
			c.checkActions(c.session.Abandon(c.now))
		}
	default:
		c.answer(rapid.SampledFrom(c.sent).Draw(c.T, "attempt"))
	}
}

// answer replies to an attempt, in flight or not, with its fields changed at random.
func (c *sessionChecker) answer(attempt *observedAttempt) {
	answer := reply(attempt.sub)
	answer.Outcome = rapid.SampledFrom([]broker.Outcome{1, 1, 1, 2, 2, 2, 3, 4}).Draw(c.T, "outcome")
	switch answer.Outcome {
	case broker.OutcomeNotRun:
		refusals := []broker.Reason{"overloaded", "snapshotMissing", "snapshotMissing", "notOwner"}
		answer.Reason = rapid.SampledFrom(refusals).Draw(c.T, "reason")
	case broker.OutcomeUnknown:
		answer.Reason = rapid.SampledFrom([]broker.Reason{"silent", "crashed"}).Draw(c.T, "reason")
	}
	switch rapid.IntRange(0, 15).Draw(c.T, "change") {
	case 0:
		answer.Snapshot = 4
	case 1:
		answer.Partitioning = 8
	case 2:
		answer.RequestID = "r2"
	}
	answer.Hits = []broker.Hit{{ID: fmt.Sprint(answer.Outcome, answer.Snapshot, answer.Partitioning, answer.RequestID)}}
	if attempt.inFlight && answer.RequestID == "r1" {
		attempt.inFlight = false
		attempt.mayRun = answer.Outcome != broker.OutcomeNotRun
		c.harmless = c.harmless || answer.Outcome == broker.OutcomeAnswered || answer.Outcome == broker.OutcomeFailed
		if answer.Reason == broker.ReasonCrashed {
			c.crashes++
		}
	}
	c.checkActions(c.session.Answer(c.now, &answer))
}

// checkActions checks the actions of one event.
func (c *sessionChecker) checkActions(actions Actions) {
	if c.finish != nil {
		c.Fatalf("got actions %+v after the answer", actions)
	}
	for _, send := range actions.Sends {
		if c.crashes > 1 {
			c.Fatalf("got attempt %d at %s after two crashes", send.Sub.Attempt, send.Sub.Shard)
		}
		if got := c.inFlight(); c.canary && !c.harmless && got > 1 {
			c.Fatalf("got attempt %d at %s beside %d others before any answer, want at most one other",
				send.Sub.Attempt, send.Sub.Shard, got)
		}
		for _, earlier := range c.sent {
			if !send.Sub.Idempotent && (earlier.inFlight || earlier.mayRun) {
				c.Fatalf("got a second attempt of a non-idempotent request while the first one may run")
			}
		}
		c.sent = append(c.sent, &observedAttempt{owner: send.Owner, sub: send.Sub, inFlight: true})
	}
	for _, cancel := range actions.Cancels {
		for _, attempt := range c.sent {
			if attempt.sub.Shard == cancel.Cancel.Shard && attempt.sub.Attempt == cancel.Cancel.Attempt {
				attempt.inFlight, attempt.mayRun = false, true
			}
		}
	}
	if !actions.WakeAt.IsZero() {
		c.wakeAt = actions.WakeAt
	}
	c.finish = actions.Finish
}

func (c *sessionChecker) checkEnd(tokens float64) {
	answer, stats := c.finish, c.session.Stats()
	if answer == nil {
		c.Fatalf("got no answer at the deadline")
	}
	if again := c.session.Wake(c.now); again.Finish != nil || len(again.Sends) > 0 {
		c.Fatalf("got actions %+v after the answer", again)
	}
	if got := c.fixture.outstanding(); got != 0 {
		c.Fatalf("got %d attempts outstanding after the answer, want 0", got)
	}
	coverage := answer.Coverage
	if coverage.ShardsAnswered+len(coverage.Missing) != coverage.ShardsTotal {
		c.Fatalf("got coverage %+v, want answered and missing shards to add up to the total", coverage)
	}
	if len(answer.Hits) != coverage.ShardsAnswered {
		c.Fatalf("got %d hits from %d shards with one hit each", len(answer.Hits), coverage.ShardsAnswered)
	}
	for _, hit := range answer.Hits {
		if want := fmt.Sprint(broker.OutcomeAnswered, answer.Snapshot, uint64(7), "r1"); hit.ID != want {
			c.Fatalf("got a hit with ID %q, want %q", hit.ID, want)
		}
	}
	ran := false
	for _, attempt := range c.sent {
		if attempt.inFlight {
			c.Fatalf("got attempt %d at %s neither answered nor cancelled", attempt.sub.Attempt, attempt.sub.Shard)
		}
		ran = ran || attempt.mayRun
	}
	if answer.Status == broker.StatusNotRun && ran {
		c.Fatalf("got status notRun although an attempt may have run")
	}
	if extra := len(c.sent) - coverage.ShardsTotal*(1+stats.Reruns); float64(extra) > tokens || stats.Reruns > 1 {
		c.Fatalf("got %d attempts and %d reruns for %d shards", len(c.sent), stats.Reruns, coverage.ShardsTotal)
	}
}
