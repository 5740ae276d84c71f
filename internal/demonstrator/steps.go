package demonstrator

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/standin/testbed"
	"github.com/yuccarock/yuccarock/pkg/caller"
	"github.com/yuccarock/yuccarock/pkg/configurator"
)

const (
	startTimeout = 10 * time.Second
	// inForceLimit bounds the time until a configuration change is in force at every node, zoneOutLimit the time until a
	// zone that is taken out receives no new work.
	inForceLimit    = 5 * time.Second
	zoneOutLimit    = 3 * time.Second
	phaseDuration   = 1500 * time.Millisecond
	zoneOutDuration = 3500 * time.Millisecond
	warmTimeout     = 8 * time.Second
)

// Step is one part of the demonstration.
type Step interface {
	// String names the step.
	String() string
	// Run executes the step; it returns an error if the system misbehaves.
	Run(ctx context.Context, system *System) error
}

// Steps returns all steps of the demonstration in order.
func Steps() []Step {
	return []Step{
		startStep{}, submitStep{}, warmStep{}, queryStep{}, duplicateStep{},
		zoneOutStep{}, zoneInStep{}, replicaStep{}, snapshotStep{}, crashStep{}, replaceNodeStep{},
	}
}

// Run runs the steps up to the first that fails, stops the system and prints the summary. It returns the first error, or
// else the first incorrect answer.
func (s *System) Run(ctx context.Context, steps []Step) error {
	begin := time.Now()
	var failure error
	for _, step := range steps {
		start := time.Now()
		failure = step.Run(ctx, s)
		_, _ = fmt.Fprintf(s.Out, "%-58s %6.2f s\n", step, time.Since(start).Seconds())
		if failure != nil {
			break
		}
	}
	if err := s.close(); failure == nil {
		failure = err
	}
	if failure == nil && s.System != nil {
		failure = s.CheckLimits()
	}
	if s.System != nil {
		s.printSummary(time.Since(begin))
	}
	if failure == nil && s.load != nil {
		failure = s.load.violationError()
	}
	return failure
}

type startStep struct{}

func (startStep) String() string { return "start store, backend servers and daemons" }

func (startStep) Run(ctx context.Context, s *System) error {
	system, err := testbed.Start(ctx, s.settings)
	s.System = system
	return err
}

type submitStep struct{}

func (submitStep) String() string { return "submit the configuration and wait until in force" }

func (submitStep) Run(ctx context.Context, s *System) error {
	revision, err := s.SubmitConfig(ctx)
	if err != nil {
		return err
	}
	return s.waitInForce(ctx, revision)
}

// waitInForce waits until a revision is in force at every node, and measures the time.
func (s *System) waitInForce(ctx context.Context, revision broker.Revision) error {
	start := time.Now()
	err := s.WaitUntil(ctx, "the configuration is in force at every node", inForceLimit, s.ConfigAdopted(revision))
	s.measured.inForceTimes = append(s.measured.inForceTimes, time.Since(start))
	return err
}

type warmStep struct{}

func (warmStep) String() string { return "warm up the servers within their cold limits" }

func (warmStep) Run(ctx context.Context, s *System) error {
	if err := s.WaitUntil(ctx, "every shard is covered", startTimeout, s.AllShardsAvailable); err != nil {
		return err
	}
	client, err := caller.New(s.Entries(), caller.Options{})
	if err != nil {
		return err
	}
	s.caller = client
	s.load = newLoad(client, s.System)
	loadCtx, stop := context.WithCancel(ctx)
	s.stopLoad = stop
	s.loadDone.Go(func() { s.load.Run(loadCtx) })
	return s.WaitUntil(ctx, "every shard has a warm replica", warmTimeout, s.allShardsWarm)
}

func (s *System) allShardsWarm() bool {
	warm := make(map[broker.ShardName]bool)
	for _, spec := range s.Specs {
		warm[spec.Shard] = warm[spec.Shard] || !s.Backends[spec.Name].Cold()
	}
	for _, isWarm := range warm {
		if !isWarm {
			return false
		}
	}
	return true
}

type queryStep struct{}

func (queryStep) String() string { return "query under load with 1% stragglers" }

func (queryStep) Run(ctx context.Context, s *System) error {
	s.load.startPhase("steady")
	pause(ctx, phaseDuration)
	return nil
}

type duplicateStep struct{}

func (duplicateStep) String() string { return "send one report to every entry at the same time" }

// Run sends the same non-idempotent request through all entry hosts and checks that it is executed exactly once.
func (duplicateStep) Run(ctx context.Context, s *System) error {
	id := uuid.Must(uuid.NewV7()).String()
	query := caller.Query{
		RequestID: id, Kind: testbed.IntakeKind, Key: "one-site", Body: testbed.Body(0), Timeout: 2 * time.Second,
	}
	results := make(chan caller.Status, len(s.Nodes()))
	for _, n := range s.Nodes() {
		client, err := caller.New([]netip.AddrPort{n.Server.Entry()}, caller.Options{Attempts: 1})
		if err != nil {
			return err
		}
		go func() {
			answer, err := client.Query(ctx, query)
			if err != nil {
				answer.Status = caller.StatusOutcomeUnknown
			}
			results <- answer.Status
		}()
	}
	completed := 0
	for range s.Nodes() {
		if status := <-results; status == caller.StatusComplete {
			completed++
		}
	}
	if executions := s.Executions(id); executions != 1 {
		return &testbed.Error{
			Op: "run a report once", Kind: testbed.KindViolation,
			Err: errors.Errorf("executions: got %d, want 1; complete answers: %d", executions, completed),
		}
	}
	return nil
}

type zoneOutStep struct{}

func (zoneOutStep) String() string { return "take zone b out under load" }

func (zoneOutStep) Run(ctx context.Context, s *System) error {
	s.load.startPhase("zone b out")
	submitted := time.Now()
	if err := s.changeZone(ctx, "b", configurator.ZoneOut); err != nil {
		return err
	}
	pause(ctx, zoneOutDuration)
	var lastArrival time.Duration
	for _, spec := range s.Specs {
		if spec.Zone == "b" {
			lastArrival = max(lastArrival, s.Backends[spec.Name].Record().LastArrival.Sub(submitted))
		}
	}
	s.measured.lastZoneArrival = lastArrival
	if lastArrival > zoneOutLimit {
		return &testbed.Error{
			Op: "keep new work out of zone b", Kind: testbed.KindViolation,
			Err: errors.Errorf("the last request arrived %s after the submission, limit %s", lastArrival, zoneOutLimit),
		}
	}
	return nil
}

func (s *System) changeZone(ctx context.Context, zone string, state configurator.ZoneState) error {
	revision, err := s.SetZone(ctx, zone, state)
	if err != nil {
		return err
	}
	return s.waitInForce(ctx, revision)
}

type zoneInStep struct{}

func (zoneInStep) String() string { return "bring zone b back" }

func (zoneInStep) Run(ctx context.Context, s *System) error {
	s.load.startPhase("zone b back")
	if err := s.changeZone(ctx, "b", configurator.ZoneIn); err != nil {
		return err
	}
	pause(ctx, phaseDuration)
	return nil
}

type replicaStep struct{}

func (replicaStep) String() string { return "kill a replica and start it again, cold" }

func (replicaStep) Run(ctx context.Context, s *System) error {
	s.load.startPhase("replica lost")
	backend := s.Backends[s.Specs[0].Name]
	backend.Kill()
	pause(ctx, phaseDuration)
	if err := backend.Restart(); err != nil {
		return err
	}
	s.load.startPhase("replica back, cold")
	return s.WaitUntil(ctx, "the restarted server is warm", warmTimeout, func() bool { return !backend.Cold() })
}

type snapshotStep struct{}

func (snapshotStep) String() string { return "replace the index snapshot server by server" }

func (snapshotStep) Run(ctx context.Context, s *System) error {
	s.load.startPhase("new snapshot")
	for _, spec := range s.Specs {
		s.Backends[spec.Name].SetSnapshots(firstSnapshot, secondSnapshot)
		pause(ctx, 10*time.Millisecond)
	}
	pause(ctx, phaseDuration)
	for _, spec := range s.Specs {
		s.Backends[spec.Name].SetSnapshots(secondSnapshot)
	}
	pause(ctx, phaseDuration/2)
	return nil
}
