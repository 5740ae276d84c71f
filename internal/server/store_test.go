package server_test

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/joiner"
	"github.com/yuccarock/yuccarock/internal/server"
	"github.com/yuccarock/yuccarock/internal/standin/storeserver"
	"github.com/yuccarock/yuccarock/internal/standin/testbed"
	"github.com/yuccarock/yuccarock/pkg/caller"
	"github.com/yuccarock/yuccarock/pkg/configurator"
)

// Exit codes of the operators' commands.
const (
	exitDone             = 0
	exitConflict         = 4
	exitStoreUnavailable = 6
)

// TestStoreDown guards against a store outage that fails queries, prevents the replacement of a killed owner, or
// reports an operator's change as accepted.
func TestStoreDown(t *testing.T) {
	f := startFixture(t, nil)
	f.waitUntilClaimable()
	stop := f.startLoad(4)
	f.Store.SetFaults(storeserver.Faults{Down: true})
	killedNode := f.Node("b1")
	servers := f.ownedServers(killedNode.Server.ID())
	killedNode.Kill()
	if code, out := f.runCommand("zone", "out", "c", "--timeout", "1s"); code != exitStoreUnavailable {
		t.Errorf("zone out without a store: got exit code %d, want %d: %s", code, exitStoreUnavailable, out)
	}
	f.wantTakeover(servers)
	f.waitForQueries(50)
	f.Store.SetFaults(storeserver.Faults{})
	revision, err := f.SetZone(t.Context(), "c", configurator.ZoneOut)
	if err != nil {
		t.Fatal(err)
	}
	f.waitFor(inForceBound, "configuration change in force", f.ConfigAdopted(revision))
	f.wantAnswers(stop(), tolerateUnsettledReports)
}

// TestStartWithoutStore guards against a host that cannot serve because it is started during a store outage.
func TestStartWithoutStore(t *testing.T) {
	f := startFixture(t, nil)
	f.warmUp()
	f.Store.SetFaults(storeserver.Faults{Down: true})
	revision := f.Node("a1").Server.Status().Revision
	n, err := f.StartNode(t.Context(), "c2", "c")
	if err != nil {
		t.Fatal(err)
	}
	f.waitFor(inForceBound, "configuration and members received from the seeds", func() bool {
		status := n.Server.Status()
		return status.Revision == revision && len(status.Members) == len(f.Nodes())-1 && f.AllShardsAvailable()
	})
	client, err := caller.New([]netip.AddrPort{n.Server.Entry()}, caller.Options{Attempts: 1})
	if err != nil {
		t.Fatal(err)
	}
	answer, err := client.Query(t.Context(), testbed.Search(1))
	if got, want := answer.Status, caller.StatusComplete; err != nil || got != want {
		t.Errorf("query through the new host: got %s, %+v, error %v, want %s", got, answer.Coverage, err, want)
	}
}

// TestOperatorsRace guards against an operator's change that overwrites a concurrent one, and against a node that
// returns to an earlier revision.
func TestOperatorsRace(t *testing.T) {
	f := startFixture(t, nil)
	value, version := f.Store.Current(joiner.ConfigKey)
	file := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(file, value, 0o600); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var sampler sync.WaitGroup
	sampler.Go(func() { f.checkRevisions(ctx) })
	drained := string(f.Specs[0].Name)
	submit := []string{"config", "submit", file, "--replace-states", "--revision", strconv.FormatUint(version, 10)}
	var operators sync.WaitGroup
	for round := range 5 {
		for _, args := range [][]string{{"zone", "out", "a"}, {"server", "drain", drained}, submit} {
			operators.Go(func() {
				code, out := f.runCommand(args...)
				stale := args[0] == "config" && code == exitConflict
				if code != exitDone && !stale {
					t.Errorf("%v: got exit code %d: %s", args, code, out)
				}
			})
		}
		operators.Wait()
		f.wantStoredStates(round, configurator.ZoneOut, drained, true)
		if code, _ := f.runCommand(submit...); code != exitConflict {
			t.Errorf("stale submit: got exit code %d, want %d", code, exitConflict)
		}
		operators.Go(func() { f.runCommand("zone", "in", "a") })
		operators.Go(func() { f.runCommand("server", "drain", drained, "--undo") })
		operators.Wait()
		f.wantStoredStates(round, configurator.ZoneIn, drained, false)
	}
	_, version = f.Store.Current(joiner.ConfigKey)
	f.waitFor(inForceBound, "the last change in force", f.ConfigAdopted(broker.Revision(version)))
	cancel()
	sampler.Wait()
}

// wantStoredStates checks the state of zone a and of one server in the stored configuration.
func (f *fixture) wantStoredStates(round int, zone configurator.ZoneState, server string, draining bool) {
	f.Helper()
	value, _ := f.Store.Current(joiner.ConfigKey)
	config, err := configurator.Parse(value)
	if err != nil {
		f.Fatal(err)
	}
	for _, s := range config.Servers {
		if s.Name == server && s.Draining != draining {
			f.Errorf("round %d: %s draining: got %v, want %v", round, server, s.Draining, draining)
		}
	}
	if got := config.Zones[0].State; got != zone {
		f.Errorf("round %d: zone a: got %s, want %s", round, got, zone)
	}
}

// checkRevisions samples the revision of every node until ctx is done and fails the test if one decreases.
func (f *fixture) checkRevisions(ctx context.Context) {
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	seen := make(map[string]broker.Revision)
	for ctx.Err() == nil {
		for _, n := range f.Nodes() {
			got := n.Server.Status().Revision
			if got < seen[n.Name] {
				f.Errorf("revision of %s: got %d after %d", n.Name, got, seen[n.Name])
			}
			seen[n.Name] = got
		}
		<-ticker.C
	}
}

// TestLostStoreReply guards against a change that is reported as failed although it took effect, or that is made twice.
func TestLostStoreReply(t *testing.T) {
	f := startFixture(t, nil)
	client, err := server.OpenStore(f.StoreURL, metrics.NewSet())
	if err != nil {
		t.Fatal(err)
	}
	for i, change := range []string{"zone out b", "server drain " + string(f.Specs[1].Name), "zone in b"} {
		f.Store.SetFaults(storeserver.Faults{LoseReplies: 1})
		code, out := f.runCommand(strings.Fields(change)...)
		if code != exitDone {
			t.Errorf("%s: got exit code %d: %s", change, code, out)
		}
		history, err := client.History(t.Context(), joiner.ConfigKey)
		if got, want := len(history), i+2; err != nil || got != want {
			t.Errorf("%s: got %d revisions, want %d (%v)", change, got, want, err)
		}
		if last := fmt.Sprint(history[len(history)-1].Version); !strings.Contains(out, last) {
			t.Errorf("%s: got %q, want it to name revision %s", change, out, last)
		}
	}
}
