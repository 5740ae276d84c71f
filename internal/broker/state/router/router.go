package router

import (
	"strings"
	"sync"

	"github.com/yuccarock/yuccarock/internal/broker"
)

// Entry is a route with the state of its traffic split.
type Entry struct {
	*broker.Route

	mu      sync.Mutex
	current []float64 // current weight by target, for smooth weighted round robin
}

// Table holds the routes of one catalog; Match takes no lock.
type Table struct {
	hosts map[string]map[string]*Entry // by host, then by prefix
}

// New returns a table of routes. Routes with the same targets as in previous keep the state of their traffic split, so
// that a new catalog version does not restart it.
func New(routes []broker.Route, previous *Table) *Table {
	t := &Table{hosts: make(map[string]map[string]*Entry)}
	for i := range routes {
		route := &routes[i]
		byPrefix := t.hosts[route.Host]
		if byPrefix == nil {
			byPrefix = make(map[string]*Entry)
			t.hosts[route.Host] = byPrefix
		}
		entry := &Entry{Route: route, current: make([]float64, len(route.Targets))}
		if previous != nil {
			entry.resume(previous.hosts[route.Host][route.Prefix])
		}
		byPrefix[route.Prefix] = entry
	}
	return t
}

// resume copies the state of the traffic split from the route's entry in the previous table.
func (e *Entry) resume(previous *Entry) {
	if previous == nil || len(previous.Targets) != len(e.Targets) {
		return
	}
	for i := range e.Targets {
		if previous.Targets[i] != e.Targets[i] {
			return
		}
	}
	previous.mu.Lock()
	defer previous.mu.Unlock()
	copy(e.current, previous.current)
}

// Match returns the entry of host whose prefix is the longest that matches path, or nil.
func (t *Table) Match(host, path string) *Entry {
	byPrefix := t.hosts[host]
	if byPrefix == nil {
		return nil
	}
	for end := len(path); end > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			return nil
		}
		if entry := byPrefix[path[:slash+1]]; entry != nil {
			return entry
		}
		end = slash
	}
	return nil
}

// Next selects the target of the next request by smooth weighted round robin, which keeps the shares of the targets
// close to their weights even over few requests. It returns nil if there are several
// targets and none has a positive weight.
func (e *Entry) Next() *broker.Target {
	if len(e.Targets) == 1 {
		return &e.Targets[0]
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	best, total := -1, 0.0
	for i := range e.Targets {
		weight := max(e.Targets[i].Weight, 0)
		if weight == 0 {
			continue
		}
		e.current[i] += weight
		total += weight
		if best < 0 || e.current[i] > e.current[best] {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	e.current[best] -= total
	return &e.Targets[best]
}
