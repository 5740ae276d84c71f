package linker

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/protocol/encoder"
)

// Application error codes of a closed connection.
const (
	codeClosed quic.ApplicationErrorCode = iota
	codeProtocol
	codeRefused
	codeDuplicate
	codeReplaced
)

// readBuffer covers a few packets, so that the small messages of a frame do not each lock the stream.
const readBuffer = 4 << 10

// link is one verified connection to a peer.
type link struct {
	linker *Linker
	peer   *peer
	conn   *quic.Conn
	dialed bool
	opened time.Time

	lanes   [laneCount]*lane
	large   chan struct{} // one element for each large message being written
	readers atomic.Int32  // streams that are being read
	ended   atomic.Int32  // lanes that the peer has closed
	down    chan struct{} // closed when the link is out of use and announced as such
}

func newLink(l *Linker, p *peer, conn *quic.Conn, dialed bool) *link {
	k := &link{
		linker: l, peer: p, conn: conn, dialed: dialed, opened: l.clock.Now(),
		large: make(chan struct{}, DefaultLargeMessages),
		down:  make(chan struct{}),
	}
	for i := range k.lanes {
		k.lanes[i] = newLane(l.options)
	}
	return k
}

// preferred returns whether the node that sorts first dialed this link.
func (k *link) preferred() bool {
	return k.dialed == (k.linker.self.ID < k.peer.id)
}

func (k *link) done() <-chan struct{} { return k.conn.Context().Done() }

func (k *link) alive() bool { return k.conn.Context().Err() == nil }

// close ends the connection; the goroutine that serves it then takes the link out of use.
func (k *link) close(code quic.ApplicationErrorCode, text string) {
	_ = k.conn.CloseWithError(code, text)
}

// send queues one encoded message; buf may be reused unless kept is true.
func (k *link) send(kind encoder.Kind, buf *bytes.Buffer) (kept bool, failed ErrorKind) {
	if !k.alive() {
		return false, KindNoLink
	}
	if buf.Len() <= encoder.TargetFrameSize {
		return false, k.lanes[laneOf(kind)].put(buf.Bytes())
	}
	select {
	case k.large <- struct{}{}:
	default:
		return false, KindQueueFull
	}
	if !k.linker.runIfOpen(func() { k.writeLarge(buf.Bytes()) }) {
		<-k.large
		return false, KindNoLink
	}
	return true, ""
}

func (k *link) writeLarge(encoded []byte) {
	defer func() { <-k.large }()
	var batch encoder.Batch
	batch.Add(encoded)
	stream, err := k.conn.OpenUniStreamSync(k.conn.Context())
	if err == nil {
		_, err = stream.Write([]byte{byte(laneLarge)})
	}
	if err == nil {
		_, err = stream.Write(batch.Bytes())
	}
	if err != nil {
		k.linker.meter.drop(dropLinkDown, 1)
		return
	}
	_ = stream.Close()
	k.linker.meter.batches[outgoing].Inc()
}

// openControl opens the control stream and writes the own hello on it.
func (k *link) openControl() (*quic.SendStream, error) {
	stream, err := k.openLane(laneControl)
	if err != nil {
		return nil, err
	}
	hello, err := encoder.AppendHello(nil, k.linker.self.ID)
	if err != nil {
		return nil, err
	}
	_, err = stream.Write(hello)
	return stream, err
}

func (k *link) openLane(id laneID) (*quic.SendStream, error) {
	stream, err := k.conn.OpenUniStream()
	if err != nil {
		return nil, err
	}
	stream.SetPriority(id.urgency(), true)
	_, err = stream.Write([]byte{byte(id)})
	return stream, err
}

// serve starts the goroutines of a registered link.
func (k *link) serve(out *quic.SendStream, in *bufio.Reader) {
	k.readers.Add(1)
	k.linker.tasks.Go(func() { k.readLane(laneControl, in) })
	k.linker.tasks.Go(k.acceptStreams)
	k.startLane(laneControl, out)
	for id := laneRequests; id < laneCount; id++ {
		stream, err := k.openLane(id)
		if err != nil {
			k.close(codeProtocol, "could not open a stream")
			return
		}
		k.startLane(id, stream)
	}
}

func (k *link) startLane(id laneID, stream *quic.SendStream) {
	wrote := func(frames int) { k.linker.meter.batches[outgoing].Add(frames) }
	k.linker.tasks.Go(func() {
		if err := k.lanes[id].run(stream, k.done(), wrote); err != nil {
			k.close(codeProtocol, "could not write to a stream")
			return
		}
		_ = stream.Close()
	})
}

// acceptStreams runs as long as the connection and then takes the link out of use.
func (k *link) acceptStreams() {
	for {
		stream, err := k.conn.AcceptUniStream(context.Background())
		if err != nil {
			k.linker.lower(k, err)
			return
		}
		k.readers.Add(1)
		k.linker.tasks.Go(func() { k.readStream(stream) })
	}
}

func (k *link) readStream(stream *quic.ReceiveStream) {
	reader := bufio.NewReaderSize(stream, readBuffer)
	id, err := reader.ReadByte()
	if err != nil || laneID(id) == laneControl || laneID(id) > laneLarge {
		k.close(codeProtocol, "a stream does not begin with a lane")
		return
	}
	k.readLane(laneID(id), reader)
}

// readLane hands the messages of one stream to the handler in their order.
func (k *link) readLane(id laneID, source io.Reader) {
	defer k.readerDone()
	reader := encoder.NewReader(source)
	for {
		frame, err := reader.Next()
		if err == io.EOF { //nolint:errorlint // Next returns io.EOF itself.
			if id != laneLarge {
				k.ended.Add(1)
			}
			return
		}
		if err == nil {
			k.linker.meter.batches[incoming].Inc()
			err = encoder.Decode(frame, k.deliver)
		}
		if err != nil {
			if k.alive() {
				k.linker.meter.drop(dropMalformed, 1)
			}
			k.close(codeProtocol, "could not read a stream")
			return
		}
	}
}

// readerDone closes the connection once the peer has closed all lanes and every message was handled.
func (k *link) readerDone() {
	if k.readers.Add(-1) == 0 && k.ended.Load() == int32(laneCount) {
		k.close(codeClosed, "the peer is done")
	}
}

func (k *link) deliver(kind encoder.Kind, size int, m broker.Message) {
	k.linker.meter.message(incoming, kind, size)
	k.peer.deliver.Lock()
	defer k.peer.deliver.Unlock()
	if k.peer.current != k {
		k.linker.meter.drop(dropReplaced, 1)
		return
	}
	k.linker.handler.HandleMessage(k.peer.id, m)
}

// drain writes what is queued, closes the lanes and waits until the peer has read them or ctx ends.
func (k *link) drain(ctx context.Context) {
	for range cap(k.large) {
		select {
		case k.large <- struct{}{}:
		case <-k.done():
		case <-ctx.Done():
		}
	}
	for _, lane := range k.lanes {
		lane.close()
	}
	select {
	case <-k.done():
	case <-ctx.Done():
	}
	k.close(codeClosed, "the node is done")
}
