package modeler

import (
	"container/heap"
	"time"
)

// epoch is the virtual time at which every simulation starts.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// event is a callback that is due at a virtual time since epoch.
type event struct {
	dueAt    time.Duration
	sequence int // order of scheduling, for events due at the same time
	callback func()
}

// eventQueue is a heap of events by due time, then sequence.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].dueAt < q[j].dueAt || q[i].dueAt == q[j].dueAt && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return last
}

// clock is a virtual clock that runs the scheduled events in order.
type clock struct {
	now      time.Duration // since epoch
	sequence int
	events   eventQueue
}

func (c *clock) time() time.Time { return epoch.Add(c.now) }

// after schedules callback to run after delay; a negative delay counts as zero.
func (c *clock) after(delay time.Duration, callback func()) {
	c.sequence++
	heap.Push(&c.events, event{dueAt: c.now + max(delay, 0), sequence: c.sequence, callback: callback})
}

// runUntil runs all events due by end and sets the clock to end.
func (c *clock) runUntil(end time.Duration) {
	for len(c.events) > 0 && c.events[0].dueAt <= end {
		next := heap.Pop(&c.events).(event)
		c.now = next.dueAt
		next.callback()
	}
	c.now = end
}
