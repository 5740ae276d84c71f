package modeler

import (
	"container/heap"
	"time"
)

// epoch is the virtual time at which every day begins.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// event is one step of a day.
type event struct {
	at    time.Duration
	order int
	run   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return last
}

// clock runs events in the order of their time.
type clock struct {
	now    time.Duration
	order  int
	events eventHeap
}

func (c *clock) time() time.Time { return epoch.Add(c.now) }

func (c *clock) after(delay time.Duration, run func()) {
	c.order++
	heap.Push(&c.events, event{at: c.now + max(delay, 0), order: c.order, run: run})
}

// run takes all events up to a time.
func (c *clock) run(until time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= until {
		next := heap.Pop(&c.events).(event)
		c.now = next.at
		next.run()
	}
	c.now = until
}
