package forwarder

import (
	"net/netip"
	"testing"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/scatterer"
	"github.com/yuccarock/yuccarock/internal/broker/state/registrar"
)

// TestRunPart guards against requests that a delegate sends to a server that is draining, in a zone to leave or not
// registered any more, because the host that delegated does not know yet.
func TestRunPart(t *testing.T) {
	tests := []struct {
		name     string
		servers  map[string]broker.Registration
		leaving  []string
		wantSent bool
	}{
		{name: "usable", wantSent: true, servers: map[string]broker.Registration{"i-1": {Zone: "a"}}},
		{name: "draining", servers: map[string]broker.Registration{"i-1": {Zone: "a", Draining: true}}},
		{name: "zone to leave", leaving: []string{"a"}, servers: map[string]broker.Registration{"i-1": {Zone: "a"}}},
		{name: "not registered", servers: map[string]broker.Registration{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newTestForwarder(&silentHosts{})
			f.codec = headOnly{}
			f.registrar.Adopt(&broker.Catalog{Version: 1, Routes: []broker.Route{{Name: "all", Shards: []string{"s1"}}}})
			for id, server := range tt.servers {
				// Nothing listens there, so that an attempt ends as unreachable.
				server.ID, server.Service, server.Address = id, "s1", netip.MustParseAddrPort("127.0.0.1:1")
				tt.servers[id] = server
			}
			f.registrar.SetServers(tt.servers, registrar.FromListingAfterOutage, time.Now())
			f.registrar.SetZonesToLeave(tt.leaving)
			part := f.runPart(t.Context(), &broker.OpaqueRequest{}, f.registrar.View(), 0, "i-1", time.Now().Add(time.Second))
			if got := part.Reason != broker.ReasonNoReplica; got != tt.wantSent || part.Outcome != broker.OutcomeNotRun {
				t.Errorf("got outcome %s and reason %s, want an attempt: %v", part.Outcome, part.Reason, tt.wantSent)
			}
		})
	}
}

// headOnly is a codec of which only the head of requests is used.
type headOnly struct{ broker.Codec }

func (headOnly) Head(to []byte, _ *broker.OpaqueRequest, _ string, _ time.Duration) []byte {
	return append(to, "GET / HTTP/1.1\r\n\r\n"...)
}

// TestMovedServer guards against further requests to an address at which a delegate has found another server.
func TestMovedServer(t *testing.T) {
	f := newTestForwarder(&silentHosts{})
	f.registrar.Adopt(&broker.Catalog{Version: 1, Routes: []broker.Route{{Name: "all", Shards: []string{"s1"}}}})
	address := netip.MustParseAddrPort("127.0.0.1:1")
	f.registrar.SetServers(map[string]broker.Registration{
		"i-1": {ID: "i-1", Service: "s1", Zone: "b", Address: address},
	}, registrar.FromListingAfterOutage, time.Now())
	view := f.registrar.View()
	sub := &broker.SubRequest{Shard: "s1", Server: "i-1", Attempt: 1}
	to, ok := f.receiver(view, "i-1")
	if !ok {
		t.Fatal("the server is not registered")
	}
	d := &delegation{session: &session{forwarder: f, view: view, request: &broker.OpaqueRequest{}}, sent: time.Now()}
	got := d.evaluate(&delegatedAttempt{sub: sub, to: to},
		&broker.PartResult{Outcome: broker.OutcomeNotRun, Reason: broker.ReasonMoved}, time.Millisecond)
	if want := scatterer.NotSent(sub).Outcome; got.answer.Outcome != want {
		t.Errorf("outcome: got %s, want %s", got.answer.Outcome, want)
	}
	if !to.server.Reassigned(address) {
		t.Error("the address is used again")
	}
}
