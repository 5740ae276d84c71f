package server_test

import (
	"encoding/json"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/server"
	"github.com/yuccarock/yuccarock/internal/standin/testbed"
	"github.com/yuccarock/yuccarock/pkg/caller"
	"github.com/yuccarock/yuccarock/pkg/configurator"
)

// TestCrashingRequest guards against a request that takes down more than two servers when it is sent again through every
// daemon at once, and against blaming the requests that ran beside it.
func TestCrashingRequest(t *testing.T) {
	b := start(t, func(s *testbed.Settings) { s.Canary = configurator.CanaryUnseen })
	b.warm()
	stop := b.load(0)
	b.serve(20)
	poison := testbed.Search(0)
	poison.Body = json.RawMessage(`{"text":"` + testbed.CrashMarker + `"}`)
	begin := time.Now()
	if _, err := b.caller.Query(t.Context(), poison); err != nil {
		t.Fatal(err)
	}
	var senders sync.WaitGroup
	for _, entry := range b.Entries() {
		client, err := caller.New([]netip.AddrPort{entry}, caller.Options{Attempts: 1})
		if err != nil {
			t.Fatal(err)
		}
		for range 2 {
			senders.Go(func() {
				for range 5 {
					query := poison
					query.RequestID = ""
					if answer, err := client.Query(t.Context(), query); err == nil && answer.Status == caller.StatusComplete {
						t.Errorf("a request that crashes servers: got %s", answer.Status)
					}
				}
			})
		}
	}
	senders.Wait()
	end := time.Now()
	b.serve(50)
	if got := b.Crashes(); got < 1 || got > 2 {
		t.Errorf("servers that the request took down: got %d, want 1 or 2", got)
	}
	beside := func(r *testbed.Result) bool { return r.Start.Add(r.Elapsed).After(begin) && r.Start.Before(end) }
	results := stop()
	b.wantAnswers(results, beside)
	resent := 0
	for _, r := range results {
		if !beside(&r) {
			continue
		}
		resent++
		r.Query.RequestID = ""
		// A request that shared a server with the one that crashed it runs alone once before it is cleared.
		b.within(2*time.Second, "an answer to a request that ran beside it", func() bool {
			answer, err := b.caller.Query(t.Context(), r.Query)
			return err == nil && answer.Status == caller.StatusComplete
		})
	}
	if resent == 0 {
		t.Error("no request ran beside the one that crashes servers")
	}
}

// wantWarm fails the test unless every daemon still takes every server to be warm under its old owner and boot ID.
func (b *bed) wantWarm(before map[broker.ServerName]broker.ServerState) {
	b.Helper()
	for _, n := range b.Nodes() {
		for _, state := range n.Server.Status().Servers {
			was := before[state.Server]
			if state.Phase != broker.PhaseWarm || state.Owner != was.Owner || state.BootID != was.BootID {
				b.Errorf("%s at %s: got %s of owner %s, want warm of %s", state.Server, n.Name, state.Phase, state.Owner,
					was.Owner)
			}
		}
	}
}

func (b *bed) states() map[broker.ServerName]broker.ServerState {
	states := make(map[broker.ServerName]broker.ServerState)
	for _, state := range b.Nodes()[0].Server.Status().Servers {
		states[state.Server] = state
	}
	return states
}

// TestTrialElsewhere guards against an innocent request that loses its shards because the report that clears it arrives after
// its sub-requests: a query in flight at a server that died was answered with 2 of 20 shards.
func TestTrialElsewhere(t *testing.T) {
	b := start(t, nil)
	b.warm()
	query := testbed.Search(1 << 40)
	fingerprint := server.FingerprintOf(&broker.Query{Kind: query.Kind, Key: query.Key, Body: query.Body})
	tell := func(report broker.CrashReport) {
		report.Fingerprint, report.Server, report.BootID = fingerprint, "elsewhere", "boot"
		for _, n := range b.Nodes() {
			n.Server.HandleMessage("elsewhere/1", broker.Message{CrashReport: &report})
		}
	}
	tell(broker.CrashReport{})
	tell(broker.CrashReport{Trial: true})
	time.AfterFunc(100*time.Millisecond, func() { tell(broker.CrashReport{Cleared: true}) })
	once, err := caller.New(b.Entries(), caller.Options{Attempts: 1})
	if err != nil {
		t.Fatal(err)
	}
	answer, err := once.Query(t.Context(), query)
	if got, want := answer.Status, caller.StatusComplete; err != nil || got != want {
		t.Errorf("a request that is cleared while its sub-requests wait: got %s, %+v, error %v, want %s",
			got, answer.Coverage, err, want)
	}
}

// TestSilentConnections guards against queries that are lost to connections that went silent for good, and against
// blaming the servers behind them.
func TestSilentConnections(t *testing.T) {
	b := start(t, nil)
	b.warm()
	before := b.states()
	stop := b.load(0)
	b.serve(20)
	for _, spec := range b.Specs {
		b.Backends[spec.Name].Silence()
	}
	b.serveAfter(time.Now())
	for _, n := range b.Nodes() {
		n.Network.SilenceCallers()
	}
	silenced := time.Now()
	b.serveAfter(silenced)
	results := stop()
	b.wantAnswers(results, none)
	for i := range results {
		// The caller's client waits for 1 s before it sends a query again, and the deadline of a search is 500 ms.
		if r := &results[i]; r.Elapsed > 1500*time.Millisecond {
			t.Errorf("answered too late: %s", describe(r))
		}
	}
	if b.Counter("yuccarock_owner_silent_attempts_repeated_total") == 0 {
		t.Error("no attempt on a silent connection was repeated on a new one")
	}
	b.wantWarm(before)
}

// TestSilentPeerLink guards against a link between two daemons that stays silent, and against an owner that is replaced
// although it is reached by a new link.
func TestSilentPeerLink(t *testing.T) {
	b := start(t, nil)
	b.warm()
	before := b.states()
	stop := b.load(0)
	b.serve(20)
	a, c := b.Node("a1"), b.Node("c1")
	downs, ups := a.Counter("yuccarock_peer_link_downs_total"), a.Counter("yuccarock_peer_link_ups_total")
	address := b.peerOf(c)
	a.Network.SetPacketLoss(address, true)
	lost := time.Now()
	b.within(2*time.Second, "silence found", func() bool { return a.Counter("yuccarock_peer_link_downs_total") > downs })
	t.Logf("silence found after %s", time.Since(lost))
	a.Network.SetPacketLoss(address, false)
	b.within(patience, "a new link", func() bool { return a.Counter("yuccarock_peer_link_ups_total") > ups })
	linked := time.Now()
	b.serveAfter(linked)
	for _, r := range stop() {
		if !answered(&r) && (r.Start.After(linked) || r.Err != nil) {
			t.Errorf("not answered: %s", describe(&r))
		}
	}
	b.within(patience, "every server warm", b.AllServersWarm)
	b.wantWarm(before)
}

// peerOf returns the UDP address of a daemon.
func (b *bed) peerOf(n *testbed.Node) netip.AddrPort {
	for _, member := range n.Server.Status().Members {
		if member.ID == n.Server.ID() {
			return member.Peer
		}
	}
	b.Fatal("the node is not a member")
	return netip.AddrPort{}
}

// TestSnapshotChange guards against answers that mix two versions of the index or hide that shards were left out.
func TestSnapshotChange(t *testing.T) {
	b := start(t, nil)
	b.warm()
	stop := b.load(0)
	for _, snapshots := range [][]broker.Snapshot{{2, 1}, {2}} {
		for _, spec := range b.Specs {
			b.Backends[spec.Name].SetSnapshots(snapshots...)
			b.serve(1)
		}
		// Daemons ask servers for their snapshots once a second; no server drops one while it is the newest known.
		b.within(patience, "snapshots known", func() bool {
			for _, n := range b.Nodes() {
				for _, state := range n.Server.Status().Servers {
					if !slices.Equal(state.Snapshots, snapshots) {
						return false
					}
				}
			}
			return true
		})
	}
	changed := time.Now()
	b.serveAfter(changed)
	results := stop()
	b.wantAnswers(results, none)
	for i := range results {
		r := &results[i]
		if r.Start.After(changed) && (r.Answer.Snapshot != 2 || r.Answer.Status != caller.StatusComplete) {
			t.Errorf("after the change: got snapshot %d, %s", r.Answer.Snapshot, describe(r))
		}
	}
}
