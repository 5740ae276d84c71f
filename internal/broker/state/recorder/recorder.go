package recorder

import "sync"

// Recorder keeps at least the last capacity/2 distinct keys that were added; it is safe for concurrent use.
type Recorder[K comparable] struct {
	mu       sync.RWMutex
	half     int
	current  map[K]struct{}
	previous map[K]struct{}
}

// New returns an empty recorder of at most capacity keys.
func New[K comparable](capacity int) *Recorder[K] {
	return &Recorder[K]{half: max(1, capacity/2), current: make(map[K]struct{})}
}

// Add records key; older keys may be dropped for it.
func (r *Recorder[K]) Add(key K) {
	if r.Has(key) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.current) >= r.half {
		r.previous, r.current = r.current, make(map[K]struct{}, r.half)
	}
	r.current[key] = struct{}{}
}

// Has reports whether key is recorded.
func (r *Recorder[K]) Has(key K) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if _, ok := r.current[key]; ok {
		return true
	}
	_, ok := r.previous[key]
	return ok
}
