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

// TestStoreDown guards against a store outage that stops queries, keeps a killed owner from being replaced, or lets an
// operator believe that a change was accepted.
func TestStoreDown(t *testing.T) {
	b := start(t, nil)
	b.claimable()
	stop := b.load(4)
	b.Store.SetFaults(storeserver.Faults{Down: true})
	victim := b.Node("b1")
	servers := b.owned(victim.Server.ID())
	victim.Kill()
	if code, out := b.operate("zone", "out", "c", "--timeout", "1s"); code != exitStoreUnavailable {
		t.Errorf("zone out without a store: got exit code %d, want %d: %s", code, exitStoreUnavailable, out)
	}
	b.takenOver(servers)
	b.serve(50)
	b.Store.SetFaults(storeserver.Faults{})
	revision, err := b.SetZone(t.Context(), "c", configurator.ZoneOut)
	if err != nil {
		t.Fatal(err)
	}
	b.within(inForceBound, "the change in force", b.ConfigAdopted(revision))
	b.wantAnswers(stop(), unsettledReport)
}

// TestStartWithoutStore guards against a host that cannot serve because it was replaced during a store outage.
func TestStartWithoutStore(t *testing.T) {
	b := start(t, nil)
	b.warm()
	b.Store.SetFaults(storeserver.Faults{Down: true})
	revision := b.Node("a1").Server.Status().Revision
	n, err := b.StartNode(t.Context(), "c2", "c")
	if err != nil {
		t.Fatal(err)
	}
	b.within(inForceBound, "configuration and members from the seeds", func() bool {
		status := n.Server.Status()
		return status.Revision == revision && len(status.Members) == len(b.Nodes())-1 && b.AllShardsAvailable()
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

// TestOperatorsRace guards against an operator's change that undoes another one, and against a node that goes back to an
// earlier revision.
func TestOperatorsRace(t *testing.T) {
	b := start(t, nil)
	value, version := b.Store.Current(joiner.ConfigKey)
	file := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(file, value, 0o600); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var sampler sync.WaitGroup
	sampler.Go(func() { b.watchRevisions(ctx) })
	drained := string(b.Specs[0].Name)
	submit := []string{"config", "submit", file, "--replace-states", "--revision", strconv.FormatUint(version, 10)}
	var operators sync.WaitGroup
	for round := range 5 {
		for _, args := range [][]string{{"zone", "out", "a"}, {"server", "drain", drained}, submit} {
			operators.Go(func() {
				code, out := b.operate(args...)
				stale := args[0] == "config" && code == exitConflict
				if code != exitDone && !stale {
					t.Errorf("%v: got exit code %d: %s", args, code, out)
				}
			})
		}
		operators.Wait()
		b.wantStates(round, configurator.ZoneOut, drained, true)
		if code, _ := b.operate(submit...); code != exitConflict {
			t.Errorf("stale submit: got exit code %d, want %d", code, exitConflict)
		}
		operators.Go(func() { b.operate("zone", "in", "a") })
		operators.Go(func() { b.operate("server", "drain", drained, "--undo") })
		operators.Wait()
		b.wantStates(round, configurator.ZoneIn, drained, false)
	}
	_, version = b.Store.Current(joiner.ConfigKey)
	b.within(inForceBound, "the last change in force", b.ConfigAdopted(broker.Revision(version)))
	cancel()
	sampler.Wait()
}

// wantStates checks the stored state of zone a and of one server.
func (b *bed) wantStates(round int, zone configurator.ZoneState, server string, draining bool) {
	b.Helper()
	value, _ := b.Store.Current(joiner.ConfigKey)
	config, err := configurator.Parse(value)
	if err != nil {
		b.Fatal(err)
	}
	for _, s := range config.Servers {
		if s.Name == server && s.Draining != draining {
			b.Errorf("round %d: %s draining: got %v, want %v", round, server, s.Draining, draining)
		}
	}
	if got := config.Zones[0].State; got != zone {
		b.Errorf("round %d: zone a: got %s, want %s", round, got, zone)
	}
}

// watchRevisions samples the revision in force at every node until ctx ends.
func (b *bed) watchRevisions(ctx context.Context) {
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	seen := make(map[string]broker.Revision)
	for ctx.Err() == nil {
		for _, n := range b.Nodes() {
			got := n.Server.Status().Revision
			if got < seen[n.Name] {
				b.Errorf("revision of %s: got %d after %d", n.Name, got, seen[n.Name])
			}
			seen[n.Name] = got
		}
		<-ticker.C
	}
}

// TestLostStoreReply guards against a change that took effect but is reported as failed or is made twice.
func TestLostStoreReply(t *testing.T) {
	b := start(t, nil)
	client, err := server.OpenStore(b.StoreURL, metrics.NewSet())
	if err != nil {
		t.Fatal(err)
	}
	for i, change := range []string{"zone out b", "server drain " + string(b.Specs[1].Name), "zone in b"} {
		b.Store.SetFaults(storeserver.Faults{LoseReplies: 1})
		code, out := b.operate(strings.Fields(change)...)
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
