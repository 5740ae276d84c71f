package holder

import (
	"sync"
	"sync/atomic"
)

// Holder keeps a pointer to an immutable T with read-copy-update access.
type Holder[T any] struct {
	value atomic.Pointer[T]
	write sync.Mutex
}

// New returns a holder with value as its current value.
func New[T any](value *T) *Holder[T] {
	h := &Holder[T]{}
	h.value.Store(value)
	return h
}

// Load returns the current value, which must not be modified.
func (h *Holder[T]) Load() *T { return h.value.Load() }

// Update replaces the current value by the result of change; a nil result keeps the current value.
func (h *Holder[T]) Update(change func(current *T) *T) {
	h.write.Lock()
	defer h.write.Unlock()
	if next := change(h.value.Load()); next != nil {
		h.value.Store(next)
	}
}
