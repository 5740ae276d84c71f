package scatterer

import "time"

type timerKind uint8

const (
	timerHedge     timerKind = iota // the shard's hedge is due
	timerSupersede                  // the hedge has had its time too
	timerStart                      // the shard's first attempt may fit a cold replica now
	timerLaunch                     // no shard took the canary, look again
	timerRelease                    // the canary has had its time
	timerOwner                      // the shard's servers may have a new owner now
	timerTarget                     // the latency target has passed
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
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < last; child++ {
			if heap[child].at < heap[least].at {
				least = child
			}
		}
		if least == i {
			return top
		}
		heap[i], heap[least] = heap[least], heap[i]
		i = least
	}
}
