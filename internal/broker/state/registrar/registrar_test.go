package registrar

import (
	"maps"
	"testing"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/state/indexer"
	"github.com/yuccarock/yuccarock/internal/broker/state/tracker"
)

// fakeSink ignores all calls.
type fakeSink struct{}

func (fakeSink) SetTable(*indexer.Table)       {}
func (fakeSink) Retain(broker.ServerName, int) {}

// TestAdopt checks that an older configuration never replaces a newer one. The store may answer with an older version
// than before, and another host may be behind.
func TestAdopt(t *testing.T) {
	r := New(tracker.New(), fakeSink{}, "a", nil)
	tests := []struct {
		version broker.Revision
		want    broker.Revision // in force afterwards
	}{{5, 5}, {3, 5}, {5, 5}, {6, 6}}
	for _, tt := range tests {
		before := broker.Revision(0)
		if view := r.View(); view != nil {
			before = view.Catalog.Version
		}
		adopted := r.Adopt(&broker.Catalog{Version: tt.version})
		if got := r.View().Catalog.Version; got != tt.want || adopted != (got != before) {
			t.Errorf("version %d after %d: got %d in force, adopted %v, want %d", tt.version, before, got, adopted, tt.want)
		}
	}
}

// TestRestoredServers guards against a server that has left and is used again after a restart of this host, because the
// list of earlier servers is out of date, and against a host without servers because their entries expired during an
// outage of the store. The list may arrive before or after the registered servers.
func TestRestoredServers(t *testing.T) {
	tests := []struct {
		name       string
		registered int // of 20 servers in the list
		want       int // usable servers
	}{
		{name: "all", registered: 20, want: 20},
		{name: "one has left", registered: 19, want: 19},
		{name: "half are back after an outage", registered: 10, want: 20},
		{name: "none are back", registered: 0, want: 20},
	}
	for _, tt := range tests {
		for _, listFirst := range []bool{true, false} {
			t.Run(tt.name, func(t *testing.T) {
				r := New(tracker.New(), fakeSink{}, "a", nil)
				r.Adopt(&broker.Catalog{Version: 1})
				now := time.Unix(1_800_000_000, 0)
				list := make([]broker.Registration, 20)
				registered := map[string]broker.Registration{}
				for i := range list {
					list[i] = broker.Registration{ID: string('a' + rune(i)), Service: "s1", Zone: "a"}
					if i < tt.registered {
						registered[list[i].ID] = list[i]
					}
				}
				if listFirst {
					r.RestoreServers(list, now)
				}
				r.SetServers(registered, FromListingAfterOutage, now)
				if !listFirst {
					r.RestoreServers(list, now)
				}
				if got := len(r.View().Instances); got != tt.want {
					t.Errorf("usable servers, list first %v: got %d, want %d", listFirst, got, tt.want)
				}
				r.ExpireServers(now.Add(expiryGrace))
				if got := len(r.View().Instances); got != tt.registered {
					t.Errorf("usable servers after the grace: got %d, want %d", got, tt.registered)
				}
			})
		}
	}
}

// TestLocality guards against sending callers to hosts of a zone in which no server takes requests, and against
// delegates there.
func TestLocality(t *testing.T) {
	server := func(id, service, zone string, draining bool) broker.Registration {
		return broker.Registration{ID: id, Service: service, Zone: zone, Draining: draining}
	}
	tests := []struct {
		name    string
		servers []broker.Registration
		leaving []string
		want    map[string]int
	}{
		{name: "shares", want: map[string]int{"a": 4, "b": 2}, servers: []broker.Registration{
			server("1", "s1", "a", false), server("2", "s2", "a", false), server("3", "s1", "b", false),
		}},
		{name: "draining server", want: map[string]int{"a": 2}, servers: []broker.Registration{
			server("1", "s1", "a", false), server("2", "s2", "a", true), server("3", "s1", "b", true),
		}},
		{name: "zone to leave", want: map[string]int{"b": 2}, leaving: []string{"a"}, servers: []broker.Registration{
			server("1", "s1", "a", false), server("2", "s2", "a", false), server("3", "s1", "b", false),
		}},
		{name: "service without scatters", want: map[string]int{"a": 2}, servers: []broker.Registration{
			server("1", "s1", "a", false), server("2", "other", "b", false),
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := New(tracker.New(), fakeSink{}, "a", nil)
			r.Adopt(&broker.Catalog{Version: 1, Routes: []broker.Route{{Name: "all", Shards: []string{"s1", "s2"}}}})
			r.SetZonesToLeave(tt.leaving)
			servers := map[string]broker.Registration{}
			for _, each := range tt.servers {
				servers[each.ID] = each
			}
			r.SetServers(servers, FromListingAfterOutage, time.Unix(1_800_000_000, 0))
			if got := r.View().Locality; !maps.Equal(got, tt.want) {
				t.Errorf("locality: got %v, want %v", got, tt.want)
			}
		})
	}
}

// retainSink records the idle connections that are to be kept.
type retainSink struct {
	fakeSink
	idle map[broker.ServerName]int
}

func (s retainSink) Retain(server broker.ServerName, minIdle int) { s.idle[server] = minIdle }

// TestRoles guards against hosts on standby that hold connections to servers, and against delegates that open a
// connection for each request of their zone or hold some to other zones.
func TestRoles(t *testing.T) {
	tests := []struct {
		role Role
		want map[broker.ServerName]int
	}{
		{RoleServing, map[broker.ServerName]int{"1": 1, "2": 1}},
		{RoleDelegate, map[broker.ServerName]int{"1": 1, "2": 0}},
		{RoleStandby, map[broker.ServerName]int{"1": 0, "2": 0}},
	}
	for _, tt := range tests {
		sink := retainSink{idle: map[broker.ServerName]int{}}
		r := New(tracker.New(), sink, "a", nil)
		r.Adopt(&broker.Catalog{Version: 1})
		r.SetServers(map[string]broker.Registration{
			"1": {ID: "1", Service: "s1", Zone: "a"}, "2": {ID: "2", Service: "s1", Zone: "b"},
		}, FromListingAfterOutage, time.Unix(1_800_000_000, 0))
		r.SetRole(tt.role)
		if !maps.Equal(sink.idle, tt.want) {
			t.Errorf("idle connections of role %d: got %v, want %v", tt.role, sink.idle, tt.want)
		}
	}
}
