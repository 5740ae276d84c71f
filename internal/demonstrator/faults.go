package demonstrator

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccarock/yuccarock/internal/broker/coordination/drainer"
	"github.com/yuccarock/yuccarock/internal/standin/testbed"
	"github.com/yuccarock/yuccarock/pkg/caller"
)

// crashLimit is the number of backend servers in the whole system that one request may crash.
const crashLimit = 2

type crashStep struct{}

func (crashStep) String() string { return "send a request that crashes servers, five times" }

func (crashStep) Run(ctx context.Context, s *System) error {
	s.load.startPhase("crashing request")
	before := s.Crashes()
	query := caller.Query{Kind: testbed.SearchKind, Limit: testbed.QueryLimit, Timeout: time.Second}
	query.Body = json.RawMessage(`{"text":"` + testbed.CrashMarker + `"}`)
	var last caller.Answer
	for range 5 {
		answer, err := s.caller.Query(ctx, query)
		if err == nil {
			last = answer
		}
	}
	crashed := s.Crashes() - before
	s.measured.crashes = crashed
	if crashed > crashLimit {
		return &testbed.Error{
			Op: "contain a request that crashes servers", Kind: testbed.KindViolation,
			Err: errors.Errorf("crashes: got %d, want at most %d", crashed, crashLimit),
		}
	}
	if last.Status == caller.StatusComplete {
		return &testbed.Error{
			Op: "contain a request that crashes servers", Kind: testbed.KindViolation,
			Err: errors.Errorf("the last answer to the request has status %s, want an incomplete one", last.Status),
		}
	}
	pause(ctx, phaseDuration/2)
	return nil
}

type replaceNodeStep struct{}

func (replaceNodeStep) String() string { return "replace node a1 by a new one under load" }

func (replaceNodeStep) Run(ctx context.Context, s *System) error {
	s.load.startPhase("node replaced")
	old := s.Node("a1")
	replacement, err := s.StartNode(ctx, "a3", "a")
	if err != nil {
		return err
	}
	old.Stop()
	if err := old.Wait(); err != nil {
		return errors.Wrap(err, "could not stop node a1 gracefully")
	}
	serving := func() bool { return replacement.Server.Status().State == drainer.StateServing }
	if err := s.WaitUntil(ctx, "the new node is serving", startTimeout, serving); err != nil {
		return err
	}
	pause(ctx, phaseDuration/2)
	return nil
}
