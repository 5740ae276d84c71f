package follower

import (
	"sync"
	"sync/atomic"
)

// Eras tracks the era of the store from its answers; it is safe for concurrent use.
type Eras struct {
	current atomic.Uint64

	mu   sync.Mutex
	rise func(from, to uint64)
}

// NewEras returns an Eras that has seen no era yet.
func NewEras() *Eras { return &Eras{rise: func(uint64, uint64) {}} }

// Current returns the latest era that an answer has stated, zero before the first one.
func (e *Eras) Current() uint64 { return e.current.Load() }

// OnRise sets what is called once for each rise after the first era.
func (e *Eras) OnRise(rise func(from, to uint64)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rise = rise
}

// Observe records the era that an answer states. A lower one than the current is that of a late answer.
func (e *Eras) Observe(era uint64) {
	if era <= e.current.Load() {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if from := e.current.Load(); era > from {
		e.current.Store(era)
		if from > 0 {
			e.rise(from, era)
		}
	}
}
