package encoder

import (
	"encoding/binary"
	"io"

	"github.com/yuccarock/yuccarock/internal/broker"
)

const (
	// MaxFrameSize is the maximum size of a frame in bytes without its length prefix. Values of the platform's store
	// are up to 1 MB; the largest message is a release with many claims.
	MaxFrameSize = 4 << 20
	// TargetFrameSize is the size in bytes above which a batch starts a new frame, so that a receiver can process
	// the first messages of a long batch before the rest arrives.
	TargetFrameSize = 64 << 10
	// MaxFrameMessages is the maximum number of messages in a frame. An empty message takes 1 byte on the wire and
	// about 100 bytes in memory, so the frame size alone does not bound the memory of a decoded frame.
	MaxFrameMessages = 4096

	lengthPrefixSize = 4
	arrayHeader      = 0x99 // CBOR array with a 16-bit number of elements
	arrayHeaderSize  = 3
	frameOverhead    = arrayHeaderSize

	// maxRetainedBuffer is the capacity in bytes above which a buffer is not reused.
	maxRetainedBuffer = 256 << 10
)

// Batch collects encoded messages into frames; the zero value is an empty batch.
type Batch struct {
	data          []byte
	frameStart    int // offset of the last frame in data
	frameMessages int // number of messages in the last frame
	frames        int
}

// Add appends one message that AppendMessage encoded.
func (b *Batch) Add(encoded []byte) {
	size := len(b.data) - b.frameStart - lengthPrefixSize
	if b.frames == 0 || b.frameMessages == MaxFrameMessages || size+len(encoded) > TargetFrameSize {
		b.frameStart = len(b.data)
		b.data = append(b.data, 0, 0, 0, 0, arrayHeader, 0, 0)
		b.frameMessages = 0
		b.frames++
	}
	b.data = append(b.data, encoded...)
	b.frameMessages++
	frame := b.data[b.frameStart:]
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-lengthPrefixSize))
	binary.BigEndian.PutUint16(frame[lengthPrefixSize+1:], uint16(b.frameMessages))
}

// Bytes returns the frames with their length prefixes; the slice is valid until the next call of Add or Reset.
func (b *Batch) Bytes() []byte { return b.data }

// Len returns the size of the frames in bytes, length prefixes included.
func (b *Batch) Len() int { return len(b.data) }

// Frames returns the number of frames.
func (b *Batch) Frames() int { return b.frames }

// Reset empties the batch; it reuses the buffer unless that exceeds maxRetainedBuffer.
func (b *Batch) Reset() {
	data := b.data[:0]
	if cap(data) > maxRetainedBuffer {
		data = nil
	}
	*b = Batch{data: data}
}

// Decode calls visit for each message of a frame without its length prefix; size is the encoded size of the message
// in bytes. The messages share no memory with frame. An error is of type *Error; messages before a malformed one have
// been visited by then.
func Decode(frame []byte, visit func(kind Kind, size int, m broker.Message)) error {
	const op = "decode a frame"
	if len(frame) > MaxFrameSize {
		return failure(op, KindTooLarge, "the frame exceeds the maximum size")
	}
	if len(frame) < arrayHeaderSize || frame[0] != arrayHeader {
		return failure(op, KindMalformed, "the frame does not begin with an array header")
	}
	count := int(binary.BigEndian.Uint16(frame[1:]))
	if count == 0 || count > MaxFrameMessages {
		return failure(op, KindMalformed, "the frame has no messages or more than the maximum")
	}
	rest := frame[arrayHeaderSize:]
	for range count {
		var m broker.Message
		remaining := len(rest)
		kind, next, err := decodeMessage(rest, &m)
		if err != nil {
			return err
		}
		rest = next
		visit(kind, remaining-len(rest), m)
	}
	if len(rest) != 0 {
		return failure(op, KindMalformed, "the frame has bytes after its last message")
	}
	return nil
}

// Reader reads frames from a stream and reuses one buffer for them.
type Reader struct {
	source       io.Reader
	lengthPrefix [lengthPrefixSize]byte
	buffer       []byte
}

// NewReader returns a reader of the frames in source.
func NewReader(source io.Reader) *Reader { return &Reader{source: source} }

// Next returns the next frame without its length prefix, or io.EOF if the stream ends between two frames. The slice
// is valid until the following call.
func (r *Reader) Next() ([]byte, error) {
	const op = "read a frame"
	if _, err := io.ReadFull(r.source, r.lengthPrefix[:]); err != nil {
		if err == io.EOF { //nolint:errorlint // io.ReadFull returns io.EOF itself.
			return nil, io.EOF
		}
		return nil, wrap(op, KindRead, err)
	}
	size := int(binary.BigEndian.Uint32(r.lengthPrefix[:]))
	if size > MaxFrameSize {
		return nil, failure(op, KindTooLarge, "the frame exceeds the maximum size")
	}
	if cap(r.buffer) < size || cap(r.buffer) > maxRetainedBuffer {
		r.buffer = nil
	}
	if err := r.readBody(size); err != nil {
		return nil, wrap(op, KindRead, err)
	}
	return r.buffer, nil
}

// readBody reads size bytes in growing steps, so that a length prefix that announces more data than follows does not
// allocate it all.
func (r *Reader) readBody(size int) error {
	r.buffer = r.buffer[:0]
	for len(r.buffer) < size {
		step := min(size-len(r.buffer), max(TargetFrameSize, len(r.buffer)))
		start := len(r.buffer)
		r.buffer = append(r.buffer, make([]byte, step)...)
		if _, err := io.ReadFull(r.source, r.buffer[start:]); err != nil {
			return err
		}
	}
	return nil
}
