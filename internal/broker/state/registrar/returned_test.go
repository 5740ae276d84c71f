package registrar

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/state/tracker"
)

// TestOlderCopy guards against taking what an older copy of the store has, or lacks, for decisions: by the time that entries are
// written again, each server counts as it did before.
func TestOlderCopy(t *testing.T) {
	begin := time.Now()
	started := begin.Add(-time.Hour)
	server := func(id string, draining bool, startedAt time.Time) broker.Registration {
		return broker.Registration{ID: id, Service: "s1", Zone: "a", Slots: 2, Draining: draining, StartedAt: startedAt,
			Address: netip.MustParseAddrPort("10.0.0.1:1")}
	}
	list := func(servers ...broker.Registration) map[string]broker.Registration {
		byID := map[string]broker.Registration{}
		for _, each := range servers {
			byID[each.ID] = each
		}
		return byID
	}
	a, b := server("a", false, started), server("b", false, started)
	draining, restarted := server("b", true, started), server("b", false, begin)
	tests := []struct {
		name         string
		before       []map[string]broker.Registration // the last is the state at the return
		copied       map[string]broker.Registration
		again        map[string]broker.Registration // written again after a second, nil if nothing is
		want         []broker.ServerName            // that get requests in the grace
		wantFinally  []broker.ServerName            // after it
		secondReturn map[string]broker.Registration // half a second after the first, nil for none
	}{
		{name: "missing and written again", before: []map[string]broker.Registration{list(a, b)}, copied: list(a), again: list(a, b),
			want: []broker.ServerName{a.Name(), b.Name()}, wantFinally: []broker.ServerName{a.Name(), b.Name()}},
		{name: "missing for good", before: []map[string]broker.Registration{list(a, b)}, copied: list(a),
			want: []broker.ServerName{a.Name(), b.Name()}, wantFinally: []broker.ServerName{a.Name()}},
		{name: "drains", before: []map[string]broker.Registration{list(a, draining)}, copied: list(a, b), again: list(a, draining),
			want: []broker.ServerName{a.Name()}, wantFinally: []broker.ServerName{a.Name()}},
		{name: "removed", before: []map[string]broker.Registration{list(a, b), list(a)}, copied: list(a, b), again: list(a),
			want: []broker.ServerName{a.Name()}, wantFinally: []broker.ServerName{a.Name()}},
		{name: "removed, and there after all", before: []map[string]broker.Registration{list(a, b), list(a)}, copied: list(a, b),
			want: []broker.ServerName{a.Name()}, wantFinally: []broker.ServerName{a.Name(), b.Name()}},
		{name: "restarted", before: []map[string]broker.Registration{list(a, b), list(a, restarted)}, copied: list(a, b),
			again: list(a, restarted), want: []broker.ServerName{a.Name(), restarted.Name()},
			wantFinally: []broker.ServerName{a.Name(), restarted.Name()}},
		{name: "missing in two returns", before: []map[string]broker.Registration{list(a, b)}, copied: list(a), secondReturn: list(a),
			again: list(a, b), want: []broker.ServerName{a.Name(), b.Name()}, wantFinally: []broker.ServerName{a.Name(), b.Name()}},
		{name: "missing, and there in a second return", before: []map[string]broker.Registration{list(a, b)}, copied: list(a),
			secondReturn: list(a, b), want: []broker.ServerName{a.Name(), b.Name()},
			wantFinally: []broker.ServerName{a.Name(), b.Name()}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := New(tracker.New(), fakeSink{}, "a", nil)
			r.Adopt(&broker.Catalog{Version: 1})
			now := begin
			for i, servers := range tt.before {
				origin := FromChanges
				if i == 0 {
					origin = FromListing
				}
				r.SetServers(servers, origin, now)
				now = now.Add(time.Second)
			}
			check := func(moment string, want []broker.ServerName) {
				t.Helper()
				var got []broker.ServerName
				for name, instance := range r.View().Instances {
					if !instance.Draining {
						got = append(got, name)
					}
				}
				if slices.Sort(got); !slices.Equal(got, want) {
					t.Errorf("%s: got %v, want %v", moment, got, want)
				}
			}
			r.SetServers(tt.copied, FromOlderCopy, now)
			check("after the return", tt.want)
			if tt.secondReturn != nil {
				r.SetServers(tt.secondReturn, FromOlderCopy, now.Add(500*time.Millisecond))
				check("after the second return", tt.want)
			}
			if tt.again != nil {
				r.SetServers(tt.again, FromChanges, now.Add(time.Second))
				check("written again", tt.want)
			}
			r.ExpireServers(now.Add(expiryGrace + time.Second))
			check("after the grace", tt.wantFinally)
		})
	}
}

// TestZonesAfterReturn guards against requests to a zone that is to be left and that an older copy of the store lacks.
func TestZonesAfterReturn(t *testing.T) {
	r, now := New(tracker.New(), fakeSink{}, "a", nil), time.Now()
	r.Adopt(&broker.Catalog{Version: 1})
	out := func() bool { return r.View().Tracked.Table.ZoneOut("a") }
	r.SetServers(map[string]broker.Registration{"a": {ID: "a", Service: "s1", Zone: "a", Slots: 1, Address: netip.MustParseAddrPort("10.0.0.1:1")}},
		FromListing, now)
	r.SetZonesToLeave([]string{"a"})
	r.HoldZonesToLeave(now)
	r.SetZonesToLeave(nil)
	if !out() {
		t.Error("the zone is used right after the return, want it out")
	}
	if next := r.ExpireServers(now.Add(time.Second)); !next.Equal(now.Add(expiryGrace)) || !out() {
		t.Errorf("within the grace: out %v, next check %v, want true, %v", out(), next.Sub(now), expiryGrace)
	}
	if r.ExpireServers(now.Add(expiryGrace)); out() {
		t.Error("the zone is out after the grace, want it used")
	}
}
