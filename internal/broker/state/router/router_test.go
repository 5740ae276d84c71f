package router

import (
	"testing"

	"github.com/yuccarock/yuccarock/internal/broker"
)

// TestMatch checks that a request matches the longest prefix among the routes of its own host only.
func TestMatch(t *testing.T) {
	table := New([]broker.Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "root", Host: "b.example", Prefix: "/"},
	}, nil)
	tests := []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/", "short"},
		{"a.example", "/x", ""},
		{"a.example", "/x/y/1", "long"},
		{"a.example", "/x/y", "short"},
		{"a.example", "/x/yz/1", "short"},
		{"a.example", "/z/", ""},
		{"a.example", "*", ""},
		{"b.example", "/anything", "root"},
		{"c.example", "/x/1", ""},
	}
	for _, tt := range tests {
		got := ""
		if entry := table.Match(tt.host, tt.path); entry != nil {
			got = entry.Name
		}
		if got != tt.want {
			t.Errorf("Match(%q, %q): got %q, want %q", tt.host, tt.path, got, tt.want)
		}
	}
}

// TestNext checks that the shares of the targets follow their weights over 100 requests, also when new tables replace
// the table in between: a new catalog version must not restart the split at its first target.
func TestNext(t *testing.T) {
	routes := []broker.Route{{Host: "h", Prefix: "/", Targets: []broker.Target{
		{Service: "a", Weight: 5}, {Service: "b", Weight: 3}, {Service: "c", Weight: 2}, {Service: "d"},
	}}}
	table := New(routes, nil)
	counts := map[string]int{}
	for i := range 100 {
		counts[table.Match("h", "/").Next().Service]++
		if i%7 == 0 {
			table = New(routes, table)
		}
	}
	want := map[string]int{"a": 50, "b": 30, "c": 20, "d": 0}
	for service, count := range want {
		if got := counts[service]; got != count {
			t.Errorf("requests for %s: got %d, want %d", service, got, count)
		}
	}
}
