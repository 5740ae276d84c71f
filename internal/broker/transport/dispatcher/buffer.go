package dispatcher

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
)

const (
	// chunkSize is the size of the buffers in which a body of unknown length is received.
	chunkSize = 16 << 10
	// smallAnswerBytes is the part of each answer that may use the whole budget: a chunk and its copy. What exceeds it may
	// use half, so that endless answers leave room for those of sound servers.
	smallAnswerBytes = 2 * chunkSize
	// headReadSize is the most that is read at once in the head of an answer. The head of nearly all answers fits in, and
	// counts only beyond it.
	headReadSize = 2 << 10
	// headFactor is the memory that a byte of a head takes once it is parsed, at most: a field of five bytes takes an
	// entry of a map, two strings and a slice.
	headFactor = 32
)

// budget limits the memory of all answers that are being received, in bytes.
type budget struct {
	limit int64
	used  atomic.Int64
}

// reserve adds to the memory in use unless that would then exceed limit.
func (b *budget) reserve(added, limit int64) bool {
	for {
		used := b.used.Load()
		if used+added > limit {
			return false
		}
		if b.used.CompareAndSwap(used, used+added) {
			return true
		}
	}
}

// holding is the memory of one answer that is being received.
type holding struct {
	budget *budget
	bytes  int64
}

// add reserves memory for more of the answer, or fails with errTooLarge.
func (h *holding) add(added int64) error {
	limit := h.budget.limit
	if h.bytes+added > smallAnswerBytes {
		limit /= 2
	}
	if !h.budget.reserve(added, limit) {
		return errTooLarge
	}
	h.bytes += added
	return nil
}

// release returns all memory to the budget.
func (h *holding) release() {
	h.budget.used.Add(-h.bytes)
	h.bytes = 0
}

// chunks are buffers of chunkSize bytes.
var chunks = sync.Pool{New: func() any { return new([chunkSize]byte) }}

// readBody reads the body of an answer, at most limit bytes. A body of a small stated length is read in place. Any other
// is received in chunks, which unlike a growing buffer are not copied until the body is complete.
func readBody(response *http.Response, limit int, held *holding) ([]byte, error) {
	if size := response.ContentLength; size >= 0 && size < maxPresizedBody && size <= int64(limit) {
		if err := held.add(size); err != nil {
			return nil, err
		}
		body := make([]byte, size)
		_, err := io.ReadFull(response.Body, body)
		return body, err
	}
	var received []*[chunkSize]byte
	defer func() {
		for _, chunk := range received {
			chunks.Put(chunk)
		}
	}()
	size := 0
	for ended := false; !ended; {
		if err := held.add(chunkSize); err != nil {
			return nil, err
		}
		chunk := chunks.Get().(*[chunkSize]byte)
		received = append(received, chunk)
		n, err := fill(response.Body, chunk[:])
		if err != nil && !errors.Is(err, io.EOF) {
			return nil, err
		}
		if size += n; size > limit {
			return nil, errTooLarge
		}
		ended = err != nil
	}
	if err := held.add(int64(size)); err != nil {
		return nil, err
	}
	body := make([]byte, 0, size)
	for _, chunk := range received {
		body = append(body, chunk[:min(chunkSize, size-len(body))]...)
	}
	return body, nil
}

// fill reads until the chunk is full, or returns the error of the last read, which is io.EOF only at the end of the body.
func fill(body io.Reader, chunk []byte) (n int, err error) {
	for n < len(chunk) && err == nil {
		var added int
		added, err = body.Read(chunk[n:])
		n += added
	}
	return n, err
}
