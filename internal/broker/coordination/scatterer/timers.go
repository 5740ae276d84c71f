package scatterer

import "time"

type timerKind uint8

const (
	timerHedge         timerKind = iota // the shard's hedge is due
	timerSupersede                      // the hedge has been in flight for the hedge delay too
	timerRetryStart                     // try to start a shard whose replicas were at their limit
	timerRetryCanary                    // try again to send the canary, which found no replica with free capacity
	timerSecondCanary                   // the canary takes long; send a second one
	timerRetryOwner                     // retry a shard whose servers change owners
	timerLatencyTarget                  // the latency target has passed
)

// timer is due at a time since the start of the session.
type timer struct {
	at    time.Duration
	shard int32
	run   uint8
	kind  timerKind
}

// timers is a binary heap with the earliest timer first.
type timers []timer

func (t *timers) push(added timer) {
	*t = append(*t, added)
	heap := *t
	for i := len(heap) - 1; i > 0; {
		parent := (i - 1) / 2
		if heap[parent].at <= heap[i].at {
			return
		}
		heap[parent], heap[i] = heap[i], heap[parent]
		i = parent
	}
}

func (t *timers) pop() timer {
	heap := *t
	top := heap[0]
	last := len(heap) - 1
	heap[0] = heap[last]
	heap = heap[:last]
	*t = heap
	for i := 0; ; {
		smallest := i
		for child := 2*i + 1; child <= 2*i+2 && child < last; child++ {
			if heap[child].at < heap[smallest].at {
				smallest = child
			}
		}
		if smallest == i {
			return top
		}
		heap[i], heap[smallest] = heap[smallest], heap[i]
		i = smallest
	}
}
