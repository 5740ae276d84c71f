package router

import (
	"strings"
	"sync"

	"github.com/yuccarock/yuccarock/internal/broker"
)

// Entry is a route with the state of its split.
type Entry struct {
	*broker.Route

	mu      sync.Mutex
	current []float64 // smooth weighted round robin, by target
}

// Table holds the routes of one catalog; lookups take no lock.
type Table struct {
	hosts map[string]map[string]*Entry // by host, then by prefix
}

// New returns the table of routes; the splits of routes that kept their targets go on where previous left them, so that
// a new version does not restart them.
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

// resume takes the state of a split over from the route's entry of the previous table.
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

// Match returns the entry with the longest prefix of path among the routes of host, or nil.
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

// Next returns the target of the next request by smooth weighted round robin, which keeps every run of requests close
// to the weights.
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
