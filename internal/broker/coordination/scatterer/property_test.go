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

// observed is what an onlooker knows of one attempt.
type observed struct {
	owner  broker.NodeID
	sub    *broker.SubRequest
	live   bool
	mayRun bool // it ended in another way than notRun, or was cancelled
}

// onlooker drives a session with random events and checks what it does.
type onlooker struct {
	*rapid.T
	fixture *fixture
	session *Session
	now     time.Time
	wakeAt  time.Time
	sent    []*observed
	crashes int
	finish  *broker.Answer
}

// TestSessionProperties guards the guarantees of a session against every order of events: one snapshot, true
// coverage, one attempt of a non-idempotent request, budgets, notRun only where nothing ran, and one end.
func TestSessionProperties(t *testing.T) {
	if checks := flag.Lookup("rapid.checks").Value; checks.String() == "100" {
		_ = checks.Set("5000") // the default reaches too few second runs and superseded attempts
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
		o := &onlooker{T: t, fixture: newFixture(shards, 3, kind, configurator.RoutingScatter), now: epoch}
		request := Request{
			Query:    broker.Query{RequestID: "r1"},
			Deadline: epoch.Add(200 * time.Millisecond),
			Suspect:  rapid.IntRange(0, 4).Draw(t, "suspect") == 0,
		}
		if request.Suspect {
			o.crashes = 1
		}
		o.session = o.fixture.session(rapid.Uint64().Draw(t, "seed"), request, epoch)
		budgets := o.fixture.budgets.Kind("search")
		tokens := budgets.Hedges.Tokens() + budgets.Retries.Tokens()
		o.take(o.session.Start(o.now))
		for steps := 0; o.finish == nil && steps < 200; steps++ {
			o.step()
		}
		if o.finish == nil {
			o.now = request.Deadline
			o.take(o.session.Wake(o.now))
		}
		o.checkEnd(tokens + 1) // one query earns less than one token
	})
}

func (o *onlooker) step() {
	o.now = o.now.Add(time.Duration(rapid.IntRange(0, 8).Draw(o.T, "ms")) * time.Millisecond)
	switch rapid.IntRange(0, 12).Draw(o.T, "event") {
	case 0:
		owner := rapid.SampledFrom([]broker.NodeID{"na", "nb", "nc"}).Draw(o.T, "owner")
		for _, attempt := range o.sent {
			if attempt.owner == owner && attempt.live {
				attempt.live, attempt.mayRun = false, true
			}
		}
		o.take(o.session.LinkDown(o.now, owner))
	case 1:
		server := o.sent[0].sub.Server
		o.fixture.announce(server, func(state *broker.ServerState) {
			state.Phase = rapid.SampledFrom([]broker.Phase{"warm", "cold", "draining"}).Draw(o.T, "phase")
			state.Snapshots = rapid.SampledFrom([][]broker.Snapshot{{4}, {5}, {4, 5, 6}}).Draw(o.T, "snapshots")
		})
	case 2, 3:
		if o.wakeAt.Sub(o.now) > 100*time.Millisecond {
			return
		}
		if o.wakeAt.After(o.now) {
			o.now = o.wakeAt
		}
		o.take(o.session.Wake(o.now))
	case 4:
		if rapid.IntRange(0, 9).Draw(o.T, "abandon") == 0 {
			o.take(o.session.Abandon(o.now))
		}
	default:
		o.answer(rapid.SampledFrom(o.sent).Draw(o.T, "attempt"))
	}
}

// answer replies to an attempt, in flight or not, with its fields changed at random.
func (o *onlooker) answer(attempt *observed) {
	answer := reply(attempt.sub)
	answer.Outcome = rapid.SampledFrom([]broker.Outcome{1, 1, 1, 2, 2, 2, 3, 4}).Draw(o.T, "outcome")
	switch answer.Outcome {
	case broker.OutcomeNotRun:
		refusals := []broker.Reason{"overloaded", "snapshotMissing", "snapshotMissing", "notOwner"}
		answer.Reason = rapid.SampledFrom(refusals).Draw(o.T, "reason")
	case broker.OutcomeUnknown:
		answer.Reason = rapid.SampledFrom([]broker.Reason{"silent", "crashed"}).Draw(o.T, "reason")
	}
	switch rapid.IntRange(0, 15).Draw(o.T, "change") {
	case 0:
		answer.Snapshot = 4
	case 1:
		answer.Partitioning = 8
	case 2:
		answer.RequestID = "r2"
	}
	answer.Hits = []broker.Hit{{ID: fmt.Sprint(answer.Outcome, answer.Snapshot, answer.Partitioning, answer.RequestID)}}
	if attempt.live && answer.RequestID == "r1" {
		attempt.live = false
		attempt.mayRun = answer.Outcome != broker.OutcomeNotRun
		if answer.Reason == broker.ReasonCrashed {
			o.crashes++
		}
	}
	o.take(o.session.Answer(o.now, &answer))
}

// take checks the actions of one event.
func (o *onlooker) take(actions Actions) {
	if o.finish != nil {
		o.Fatalf("got actions %+v after the end", actions)
	}
	for _, send := range actions.Sends {
		if o.crashes > 1 {
			o.Fatalf("got attempt %d at %s after two crashes", send.Sub.Attempt, send.Sub.Shard)
		}
		for _, earlier := range o.sent {
			if !send.Sub.Idempotent && (earlier.live || earlier.mayRun) {
				o.Fatalf("got a second attempt of a non-idempotent request while the first one may run")
			}
		}
		o.sent = append(o.sent, &observed{owner: send.Owner, sub: send.Sub, live: true})
	}
	for _, cancel := range actions.Cancels {
		for _, attempt := range o.sent {
			if attempt.sub.Shard == cancel.Cancel.Shard && attempt.sub.Attempt == cancel.Cancel.Attempt {
				attempt.live, attempt.mayRun = false, true
			}
		}
	}
	if !actions.WakeAt.IsZero() {
		o.wakeAt = actions.WakeAt
	}
	o.finish = actions.Finish
}

func (o *onlooker) checkEnd(tokens float64) {
	answer, stats := o.finish, o.session.Stats()
	if answer == nil {
		o.Fatalf("got no answer at the deadline")
	}
	if again := o.session.Wake(o.now); again.Finish != nil || len(again.Sends) > 0 {
		o.Fatalf("got actions %+v after the end", again)
	}
	if got := o.fixture.outstanding(); got != 0 {
		o.Fatalf("got %d attempts outstanding after the end, want 0", got)
	}
	coverage := answer.Coverage
	if coverage.ShardsAnswered+len(coverage.Missing) != coverage.ShardsTotal {
		o.Fatalf("got coverage %+v that does not add up", coverage)
	}
	if len(answer.Hits) != coverage.ShardsAnswered {
		o.Fatalf("got %d hits from %d shards with one hit each", len(answer.Hits), coverage.ShardsAnswered)
	}
	for _, hit := range answer.Hits {
		if want := fmt.Sprint(broker.OutcomeAnswered, answer.Snapshot, uint64(7), "r1"); hit.ID != want {
			o.Fatalf("got a hit of %q in an answer of %q", hit.ID, want)
		}
	}
	ran := false
	for _, attempt := range o.sent {
		if attempt.live {
			o.Fatalf("got attempt %d at %s neither answered nor cancelled", attempt.sub.Attempt, attempt.sub.Shard)
		}
		ran = ran || attempt.mayRun
	}
	if answer.Status == broker.StatusNotRun && ran {
		o.Fatalf("got status notRun although an attempt may have run")
	}
	if extra := len(o.sent) - coverage.ShardsTotal*(1+stats.Reruns); float64(extra) > tokens || stats.Reruns > 1 {
		o.Fatalf("got %d attempts and %d reruns for %d shards", len(o.sent), stats.Reruns, coverage.ShardsTotal)
	}
}
