package linker

import (
	"io"
	"sync"

	"github.com/yuccarock/yuccarock/internal/broker/protocol/encoder"
)

// streamType is sent as the first byte of each stream.
type streamType byte

// Types of streams; longLivedStreams is the number of long-lived streams in each direction, and streamLarge is a
// stream with one message.
const (
	streamControl streamType = iota
	streamRequests
	streamAnswers
	longLivedStreams
	streamLarge = longLivedStreams
)

// Urgencies as in RFC 9218; streams with lower values are sent first.
const (
	urgencyControl = 1
	urgencyDefault = 3
)

func (t streamType) urgency() int8 {
	if t == streamControl {
		return urgencyControl
	}
	return urgencyDefault
}

func streamTypeOf(kind encoder.Kind) streamType {
	switch kind {
	case encoder.KindSubRequest, encoder.KindForward:
		return streamRequests
	case encoder.KindSubAnswer, encoder.KindForwardAnswer, encoder.KindConfig:
		return streamAnswers
	default:
		return streamControl
	}
}

// sendQueue is the bounded queue of one outgoing stream. Messages queued during a write are sent together by the next
// write.
type sendQueue struct {
	maxMessages int
	maxBytes    int
	wake        chan struct{}

	mu       sync.Mutex
	batch    *encoder.Batch
	spare    *encoder.Batch
	messages int
	closed   bool
}

func newSendQueue(options Options) *sendQueue {
	return &sendQueue{
		maxMessages: options.QueueMessages,
		maxBytes:    options.QueueBytes,
		wake:        make(chan struct{}, 1),
		batch:       &encoder.Batch{},
		spare:       &encoder.Batch{},
	}
}

// enqueue queues one encoded message and returns an empty kind, or KindNoLink or KindQueueFull.
func (q *sendQueue) enqueue(encoded []byte) ErrorKind {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return KindNoLink
	}
	if q.messages >= q.maxMessages || q.batch.Len()+len(encoded) > q.maxBytes {
		return KindQueueFull
	}
	q.batch.Add(encoded)
	q.messages++
	q.signal()
	return ""
}

func (q *sendQueue) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// close rejects further messages; run writes the queued ones and returns.
func (q *sendQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.signal()
}

// discard closes the queue, drops the messages that no write has begun to send and returns their number.
func (q *sendQueue) discard() int {
	q.close()
	q.mu.Lock()
	defer q.mu.Unlock()
	dropped := q.messages
	q.batch.Reset()
	q.messages = 0
	return dropped
}

// takeBatch removes and returns all queued messages, and reports whether the queue is still open.
func (q *sendQueue) takeBatch() (*encoder.Batch, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	batch := q.batch
	q.spare.Reset()
	q.batch, q.spare = q.spare, batch
	q.messages = 0
	return batch, !q.closed
}

// run writes batches until the queue is closed and empty, done is closed, or a write fails. It calls onWrite after
// each write.
func (q *sendQueue) run(stream io.Writer, done <-chan struct{}, onWrite func(frames int)) error {
	for {
		select {
		case <-q.wake:
		case <-done:
			return nil
		}
		batch, open := q.takeBatch()
		if batch.Len() > 0 {
			if _, err := stream.Write(batch.Bytes()); err != nil {
				return err
			}
			onWrite(batch.Frames())
			batch.Reset()
		}
		if !open {
			return nil
		}
	}
}
