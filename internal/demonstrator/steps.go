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
	startLimit = 10 * time.Second
	// inForceLimit is the bound for a configuration change, zoneOutLimit the one for new work in a zone that is out.
	inForceLimit = 5 * time.Second
	zoneOutLimit = 3 * time.Second
	phaseTime    = 1500 * time.Millisecond
	zoneOutTime  = 3500 * time.Millisecond
	warmLimit    = 8 * time.Second
)

// Step is one part of the demonstration.
type Step interface {
	// String names the step.
	String() string
	// Run carries it out and returns an error where the system did not behave.
	Run(ctx context.Context, system *System) error
}

// Steps returns the whole demonstration in order.
func Steps() []Step {
	return []Step{
		startStep{}, submitStep{}, warmStep{}, queryStep{}, claimStep{},
		zoneOutStep{}, zoneInStep{}, replicaStep{}, snapshotStep{}, crashStep{}, replaceNodeStep{},
	}
}

// Run runs all steps and prints the summary; the error is the first step that failed or the first answer that was
// not true.
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
		failure = s.load.violation()
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
	return s.untilInForce(ctx, revision)
}

func (s *System) untilInForce(ctx context.Context, revision broker.Revision) error {
	start := time.Now()
	err := s.WaitUntil(ctx, "configuration in force at every node", inForceLimit, s.ConfigAdopted(revision))
	s.report.inForce = append(s.report.inForce, time.Since(start))
	return err
}

type warmStep struct{}

func (warmStep) String() string { return "warm up the servers within their cold limits" }

func (warmStep) Run(ctx context.Context, s *System) error {
	if err := s.WaitUntil(ctx, "every shard covered", startLimit, s.AllShardsAvailable); err != nil {
		return err
	}
	client, err := caller.New(s.Entries(), caller.Options{})
	if err != nil {
		return err
	}
	s.caller = client
	s.load = newLoad(client, s.System)
	running, stop := context.WithCancel(ctx)
	s.stopLoad = stop
	s.loadDone.Go(func() { s.load.Run(running) })
	return s.WaitUntil(ctx, "a warm replica of every shard", warmLimit, s.allShardsWarm)
}

func (s *System) allShardsWarm() bool {
	warm := make(map[broker.ShardName]bool)
	for _, spec := range s.Specs {
		warm[spec.Shard] = warm[spec.Shard] || !s.Backends[spec.Name].Cold()
	}
	for _, ok := range warm {
		if !ok {
			return false
		}
	}
	return true
}

type queryStep struct{}

func (queryStep) String() string { return "query under load with 1% stragglers" }

func (queryStep) Run(ctx context.Context, s *System) error {
	s.load.phase("steady")
	pause(ctx, phaseTime)
	return nil
}

type claimStep struct{}

func (claimStep) String() string { return "send one report to every entry at the same time" }

// Run sends the same non-idempotent request through all entries; it must run once.
func (claimStep) Run(ctx context.Context, s *System) error {
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
	answered := 0
	for range s.Nodes() {
		if status := <-results; status == caller.StatusComplete {
			answered++
		}
	}
	if executions := s.Executions(id); executions != 1 {
		return &testbed.Error{
			Op: "run a report once", Kind: testbed.KindViolation,
			Err: errors.Errorf("executions: got %d, want 1; complete answers: %d", executions, answered),
		}
	}
	return nil
}

type zoneOutStep struct{}

func (zoneOutStep) String() string { return "take zone b out under load" }

func (zoneOutStep) Run(ctx context.Context, s *System) error {
	s.load.phase("zone b out")
	submitted := time.Now()
	if err := s.changeZone(ctx, "b", configurator.ZoneOut); err != nil {
		return err
	}
	pause(ctx, zoneOutTime)
	var last time.Duration
	for _, spec := range s.Specs {
		if spec.Zone == "b" {
			last = max(last, s.Backends[spec.Name].Record().LastArrival.Sub(submitted))
		}
	}
	s.report.zoneOutLast = last
	if last > zoneOutLimit {
		return &testbed.Error{
			Op: "keep new work out of zone b", Kind: testbed.KindViolation,
			Err: errors.Errorf("last arrival after %s, limit %s", last, zoneOutLimit),
		}
	}
	return nil
}

func (s *System) changeZone(ctx context.Context, zone string, state configurator.ZoneState) error {
	revision, err := s.SetZone(ctx, zone, state)
	if err != nil {
		return err
	}
	return s.untilInForce(ctx, revision)
}

type zoneInStep struct{}

func (zoneInStep) String() string { return "bring zone b back" }

func (zoneInStep) Run(ctx context.Context, s *System) error {
	s.load.phase("zone b back")
	if err := s.changeZone(ctx, "b", configurator.ZoneIn); err != nil {
		return err
	}
	pause(ctx, phaseTime)
	return nil
}

type replicaStep struct{}

func (replicaStep) String() string { return "kill a replica and start it again, cold" }

func (replicaStep) Run(ctx context.Context, s *System) error {
	s.load.phase("replica lost")
	backend := s.Backends[s.Specs[0].Name]
	backend.Kill()
	pause(ctx, phaseTime)
	if err := backend.Restart(); err != nil {
		return err
	}
	s.load.phase("replica back, cold")
	return s.WaitUntil(ctx, "the restarted server is warm", warmLimit, func() bool { return !backend.Cold() })
}

type snapshotStep struct{}

func (snapshotStep) String() string { return "replace the index snapshot server by server" }

func (snapshotStep) Run(ctx context.Context, s *System) error {
	s.load.phase("new snapshot")
	for _, spec := range s.Specs {
		s.Backends[spec.Name].SetSnapshots(firstSnapshot, secondSnapshot)
		pause(ctx, 10*time.Millisecond)
	}
	pause(ctx, phaseTime)
	for _, spec := range s.Specs {
		s.Backends[spec.Name].SetSnapshots(secondSnapshot)
	}
	pause(ctx, phaseTime/2)
	return nil
}
