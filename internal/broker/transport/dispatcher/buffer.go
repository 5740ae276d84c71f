package dispatcher

import (
	"io"
	"sync/atomic"
)

// bufferedReader reads a body that is kept in memory and fails while all such bodies together exceed limit.
type bufferedReader struct {
	from  io.ReadCloser
	total *atomic.Int64
	limit int64
	read  int64
}

// Read reads from the body if the total permits as much as fits into data.
func (r *bufferedReader) Read(data []byte) (int, error) {
	reserved := int64(len(data))
	if !r.reserve(reserved) {
		return 0, errTooLarge
	}
	n, err := r.from.Read(data)
	r.read += int64(n)
	r.total.Add(int64(n) - reserved)
	return n, err
}

// reserve adds to the total unless the limit would be exceeded.
func (r *bufferedReader) reserve(added int64) bool {
	for {
		total := r.total.Load()
		if total+added > r.limit {
			return false
		}
		if r.total.CompareAndSwap(total, total+added) {
			return true
		}
	}
}

// Close closes the body.
func (r *bufferedReader) Close() error { return r.from.Close() }

// release subtracts what was read from the total.
func (r *bufferedReader) release() { r.total.Add(-r.read) }
