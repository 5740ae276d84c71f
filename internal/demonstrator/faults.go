package demonstrator

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccarock/yuccarock/internal/broker/coordination/drainer"
	"github.com/yuccarock/yuccarock/pkg/caller"
)

// maxCrashes is how many backend servers one request may take down in the whole fleet.
const maxCrashes = 2

type crashStep struct{}

func (crashStep) String() string { return "send a request that crashes servers, five times" }

func (crashStep) Run(ctx context.Context, s *System) error {
	s.load.phase("crashing request")
	before := s.crashes()
	query := caller.Query{Kind: searchKind, Limit: queryLimit, Timeout: time.Second}
	query.Body = json.RawMessage(`{"text":"` + crashMarker + `"}`)
	var last caller.Answer
	for range 5 {
		answer, err := s.caller.Query(ctx, query)
		if err == nil {
			last = answer
		}
	}
	crashed := s.crashes() - before
	s.report.crashes = crashed
	if crashed > maxCrashes {
		return &Error{
			Op: "contain a request that crashes servers", Kind: KindViolation,
			Err: errors.Errorf("crashes: got %d, want at most %d", crashed, maxCrashes),
		}
	}
	if last.Status == caller.StatusComplete {
		return &Error{
			Op: "contain a request that crashes servers", Kind: KindViolation,
			Err: errors.Errorf("the last answer is %s", last.Status),
		}
	}
	pause(ctx, phaseTime/2)
	return nil
}

func (s *System) crashes() int {
	total := 0
	for _, backend := range s.backends {
		total += backend.Record().Crashes
	}
	return total
}

func (s *System) executions(requestID string) int {
	total := 0
	for _, backend := range s.backends {
		total += backend.Executions(requestID)
	}
	return total
}

type replaceNodeStep struct{}

func (replaceNodeStep) String() string { return "replace node a1 by a new one under load" }

func (replaceNodeStep) Run(ctx context.Context, s *System) error {
	s.load.phase("node replaced")
	old := s.nodes["a1"]
	delete(s.nodes, "a1")
	if err := s.startNode(ctx, "a3", "a"); err != nil {
		return err
	}
	old.stop()
	if err := <-old.done; err != nil {
		return errors.Wrap(err, "could not stop node a1 in the planned way")
	}
	serving := func() bool { return s.nodes["a3"].server.Status().State == drainer.StateServing }
	if err := s.until(ctx, "the new node serves", startLimit, serving); err != nil {
		return err
	}
	pause(ctx, phaseTime/2)
	return nil
}
