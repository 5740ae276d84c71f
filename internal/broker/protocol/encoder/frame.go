package encoder

import (
	"encoding/binary"
	"io"

	"github.com/yuccarock/yuccarock/internal/broker"
)

const (
	// MaxFrame is the largest frame in bytes without its length prefix. Values of the platform's store are up to
	// 1 MB; a release with many claims is the largest message.
	MaxFrame = 4 << 20
	// TargetFrame is the size in bytes at which a batch begins another frame, so that a receiver can start on
	// the first messages of a long batch.
	TargetFrame = 64 << 10
	// MaxMessages is the largest number of messages in a frame. An empty message takes 1 byte on the wire and
	// about 100 in memory, so the frame size alone does not bound the memory that a frame takes.
	MaxMessages = 4096

	lengthSize    = 4
	arrayHead     = 0x99 // array with a 16-bit number of elements
	arrayHeadSize = 3
	frameOverhead = arrayHeadSize

	// keepBuffer is the size above which a buffer is released after use instead of kept.
	keepBuffer = 256 << 10
)

// Batch collects encoded messages into frames; the zero value is empty and ready.
type Batch struct {
	data     []byte
	start    int // offset of the open frame
	messages int // messages of the open frame
	frames   int
}

// Add appends one message as encoded by AppendMessage.
func (b *Batch) Add(encoded []byte) {
	size := len(b.data) - b.start - lengthSize
	if b.frames == 0 || b.messages == MaxMessages || size+len(encoded) > TargetFrame {
		b.start = len(b.data)
		b.data = append(b.data, 0, 0, 0, 0, arrayHead, 0, 0)
		b.messages = 0
		b.frames++
	}
	b.data = append(b.data, encoded...)
	b.messages++
	frame := b.data[b.start:]
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-lengthSize))
	binary.BigEndian.PutUint16(frame[lengthSize+1:], uint16(b.messages))
}

// Bytes returns the frames, valid until the next call of Add or Reset.
func (b *Batch) Bytes() []byte { return b.data }

// Len returns the size of the frames in bytes.
func (b *Batch) Len() int { return len(b.data) }

// Frames returns the number of frames.
func (b *Batch) Frames() int { return b.frames }

// Reset empties the batch and keeps its buffer unless that has grown large.
func (b *Batch) Reset() {
	data := b.data[:0]
	if cap(data) > keepBuffer {
		data = nil
	}
	*b = Batch{data: data}
}

// Decode calls visit for each message of a frame without its length prefix; size is the encoded size in bytes.
// The messages share no memory with frame. Messages before a malformed one are visited.
func Decode(frame []byte, visit func(kind Kind, size int, m broker.Message)) error {
	const op = "decode a frame"
	if len(frame) > MaxFrame {
		return failure(op, KindTooLarge, "the frame is too long")
	}
	if len(frame) < arrayHeadSize || frame[0] != arrayHead {
		return failure(op, KindMalformed, "the frame does not begin with an array")
	}
	count := int(binary.BigEndian.Uint16(frame[1:]))
	if count == 0 || count > MaxMessages {
		return failure(op, KindMalformed, "the number of messages is out of range")
	}
	rest := frame[arrayHeadSize:]
	for range count {
		var m broker.Message
		before := len(rest)
		kind, next, err := decodeMessage(rest, &m)
		if err != nil {
			return err
		}
		rest = next
		visit(kind, before-len(rest), m)
	}
	if len(rest) != 0 {
		return failure(op, KindMalformed, "bytes follow the last message")
	}
	return nil
}

// Reader reads frames from a stream into one buffer.
type Reader struct {
	source io.Reader
	head   [lengthSize]byte
	buffer []byte
}

// NewReader returns a reader of the frames of source.
func NewReader(source io.Reader) *Reader { return &Reader{source: source} }

// Next returns the next frame without its length prefix, valid until the following call, or io.EOF where the
// stream ends between frames.
func (r *Reader) Next() ([]byte, error) {
	const op = "read a frame"
	if _, err := io.ReadFull(r.source, r.head[:]); err != nil {
		if err == io.EOF { //nolint:errorlint // io.ReadFull returns io.EOF itself.
			return nil, io.EOF
		}
		return nil, wrap(op, KindRead, err)
	}
	size := int(binary.BigEndian.Uint32(r.head[:]))
	if size > MaxFrame {
		return nil, failure(op, KindTooLarge, "the frame is too long")
	}
	if cap(r.buffer) < size || cap(r.buffer) > keepBuffer {
		r.buffer = nil
	}
	if err := r.fill(size); err != nil {
		return nil, wrap(op, KindRead, err)
	}
	return r.buffer, nil
}

// fill reads in steps, so that a length without the bytes to follow it takes little memory.
func (r *Reader) fill(size int) error {
	r.buffer = r.buffer[:0]
	for len(r.buffer) < size {
		step := min(size-len(r.buffer), max(TargetFrame, len(r.buffer)))
		start := len(r.buffer)
		r.buffer = append(r.buffer, make([]byte, step)...)
		if _, err := io.ReadFull(r.source, r.buffer[start:]); err != nil {
			return err
		}
	}
	return nil
}
