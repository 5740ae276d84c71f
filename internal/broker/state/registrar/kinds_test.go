package registrar

import (
	"slices"
	"strings"
	"testing"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/state/tracker"
)

// TestKindsOfRoutes guards against requests of a route that use the services, the shards or the type of another route, because
// what identifies their kind can be read as that of the other one. It checks both orders of the routes.
func TestKindsOfRoutes(t *testing.T) {
	single := func(name, host, prefix, service string) broker.Route {
		return broker.Route{Name: name, Host: host, Prefix: prefix, Targets: []broker.Target{{Service: service, Weight: 1}}}
	}
	scatter := func(name, host, prefix string, shards ...string) broker.Route {
		return broker.Route{Name: name, Host: host, Prefix: prefix, Idempotent: true, Shards: shards, MinCoverage: 0.75}
	}
	repeatable := func(route broker.Route) broker.Route {
		route.Idempotent = true
		return route
	}
	long := strings.Repeat("a", 1<<16)
	tests := []struct {
		name   string
		routes []broker.Route
	}{
		{"a name is another name, a slash and its service", []broker.Route{
			single("reports", "h", "/reports/", "intake"), scatter("reports/intake", "h", "/search/", "s1", "s2")}},
		{"a slash in a name and in a service", []broker.Route{single("a/b", "h", "/1/", "c"), single("a", "h", "/2/", "b/c")}},
		{"equal names on different hosts", []broker.Route{
			single("r", "h1", "/", "s1"), scatter("r", "h2", "/", "s1", "s2"), single("r", "h3", "/", "s2")}},
		{"equal names of scatters on different hosts", []broker.Route{scatter("r", "h1", "/", "s1", "s2"), scatter("r", "h2", "/", "s3")}},
		{"equal names and services, different types", []broker.Route{
			single("r", "h1", "/1/", "s1"), repeatable(single("r", "h1", "/2/", "s1")), repeatable(single("r", "h2", "/1/", "s1"))}},
		{"equal names on one host", []broker.Route{single("r", "h", "/1/", "s1"), scatter("r", "h", "/2/", "s1", "s2")}},
		{"no names", []broker.Route{single("", "h", "/1/", "s1"), scatter("", "h", "/2/", "s2", "s3"), single("", "", "/", "s4")}},
		{"a name without a service beside no name", []broker.Route{single("", "h", "/1/", "s"), scatter("/s", "h", "/2/", "s1", "s2")}},
		{"a prefix that begins in the host", []broker.Route{single("a", "h", "/x/", "s1"), scatter("b", "h/x", "/", "s2", "s3")}},
		{"a service that begins in the prefix", []broker.Route{
			single("a", "h", "/x/", "y/s"), scatter("b", "h", "/x/y/", "s", "t"), single("c", "h", "/x/y/z/", "s")}},
		{"quotes", []broker.Route{single("a", `h"`, `/"/`, `s`), scatter("b", `h`, `"/"/`, "s", "t"), single("c", `h""/`, `/`, `"s`)}},
		{"very long names", []broker.Route{
			single(long, "h", "/1/", "s1"), scatter(long+"b", "h", "/2/", "s2", "s3"), single(long, long, "/1/", long)}},
		{"one service with and without a split", []broker.Route{
			{Name: "split", Host: "h", Prefix: "/1/", Targets: []broker.Target{{Service: "s1", Weight: 1}, {Service: "s2", Weight: 1}}},
			scatter("split/s1", "h", "/2/", "s3", "s4"), single("split", "h2", "/1/", "s2")}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := New(tracker.New(), fakeSink{}, "a", nil)
			for version := range broker.Revision(2) {
				r.Adopt(&broker.Catalog{Version: version + 1, Routes: tt.routes})
				for i := range tt.routes {
					checkKinds(t, r.View(), &tt.routes[i])
				}
				tt.routes = slices.Clone(tt.routes)
				slices.Reverse(tt.routes)
			}
		})
	}
}

// checkKinds checks that the request kinds of a route have its type and its services.
func checkKinds(t *testing.T, view *View, route *broker.Route) {
	t.Helper()
	check := func(name string, want []string) {
		kind := view.Tracked.Table.Kind(name)
		if kind == nil {
			t.Fatalf("route %.20q at %.20q %q: got no request kind", route.Name, route.Host, route.Prefix)
		}
		var got []string
		for _, shard := range view.Tracked.Service(kind.Service).Tracked {
			got = append(got, string(shard.Name))
		}
		if !slices.Equal(got, want) || kind.Idempotent != route.Idempotent {
			t.Errorf("route %.20q at %.20q %q: got services %.20q, idempotent %t; want %.20q, %t",
				route.Name, route.Host, route.Prefix, got, kind.Idempotent, want, route.Idempotent)
		}
	}
	if route.Scatter() {
		check(KindName(route, ""), route.Shards)
	}
	for _, target := range route.Targets {
		check(KindName(route, target.Service), []string{target.Service})
	}
}
