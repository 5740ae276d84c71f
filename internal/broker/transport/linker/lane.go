package linker

import (
	"io"
	"sync"

	"github.com/yuccarock/yuccarock/internal/broker/protocol/encoder"
)

// laneID is the first byte of each stream.
type laneID byte

// Lanes; laneLarge is a stream with one message.
const (
	laneControl laneID = iota
	laneRequests
	laneAnswers
	laneCount
	laneLarge = laneCount
)

// Urgencies of RFC 9218; lower values are sent first.
const (
	urgencyControl = 1
	urgencyOther   = 3
)

func (id laneID) urgency() int8 {
	if id == laneControl {
		return urgencyControl
	}
	return urgencyOther
}

func laneOf(kind encoder.Kind) laneID {
	switch kind {
	case encoder.KindSubRequest, encoder.KindForward:
		return laneRequests
	case encoder.KindSubAnswer, encoder.KindForwardAnswer, encoder.KindConfig:
		return laneAnswers
	default:
		return laneControl
	}
}

// lane is the bounded queue of one outgoing stream. Messages that arrive during a write leave together with
// the next one.
type lane struct {
	maxMessages int
	maxBytes    int
	wake        chan struct{}

	mu       sync.Mutex
	batch    *encoder.Batch
	spare    *encoder.Batch
	messages int
	closed   bool
}

func newLane(options Options) *lane {
	return &lane{
		maxMessages: options.QueueMessages,
		maxBytes:    options.QueueBytes,
		wake:        make(chan struct{}, 1),
		batch:       &encoder.Batch{},
		spare:       &encoder.Batch{},
	}
}

// put queues one encoded message or returns the kind of the failure.
func (l *lane) put(encoded []byte) ErrorKind {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return KindNoLink
	}
	if l.messages >= l.maxMessages || l.batch.Len()+len(encoded) > l.maxBytes {
		return KindQueueFull
	}
	l.batch.Add(encoded)
	l.messages++
	l.signal()
	return ""
}

func (l *lane) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// close refuses further messages; run writes those that are queued and returns.
func (l *lane) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.signal()
}

// drop closes the lane and returns the number of messages that no write has taken.
func (l *lane) drop() int {
	l.close()
	l.mu.Lock()
	defer l.mu.Unlock()
	dropped := l.messages
	l.batch.Reset()
	l.messages = 0
	return dropped
}

// take returns what is queued, and whether more may come.
func (l *lane) take() (*encoder.Batch, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	taken := l.batch
	l.spare.Reset()
	l.batch, l.spare = l.spare, taken
	l.messages = 0
	return taken, !l.closed
}

// run writes batches until the lane is closed and empty, done is closed, or a write fails.
func (l *lane) run(stream io.Writer, done <-chan struct{}, wrote func(frames int)) error {
	for {
		select {
		case <-l.wake:
		case <-done:
			return nil
		}
		batch, open := l.take()
		if batch.Len() > 0 {
			if _, err := stream.Write(batch.Bytes()); err != nil {
				return err
			}
			wrote(batch.Frames())
			batch.Reset()
		}
		if !open {
			return nil
		}
	}
}
