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

// Application error codes with which a node closes a connection.
const (
	codeClosed quic.ApplicationErrorCode = iota
	codeProtocol
	codeRefused
	codeDuplicate
	codeReplaced
)

// readBufferSize, in bytes, covers a few packets, so that reading small messages does not lock the stream for each.
const readBufferSize = 4 << 10

// link is one authenticated connection to a peer.
type link struct {
	linker   *Linker
	peer     *peer
	conn     *quic.Conn
	dialed   bool
	openedAt time.Time

	queues        [longLivedStreams]*sendQueue
	largeSlots    chan struct{} // holds one element for each large message being written
	activeReaders atomic.Int32  // number of streams being read
	closedStreams atomic.Int32  // number of long-lived streams that the peer has closed
	down          chan struct{} // closed once the link is deactivated and the handler was told
}

func newLink(l *Linker, p *peer, conn *quic.Conn, dialed bool) *link {
	lk := &link{
		linker: l, peer: p, conn: conn, dialed: dialed, openedAt: l.clock.Now(),
		largeSlots: make(chan struct{}, DefaultLargeMessages),
		down:       make(chan struct{}),
	}
	for i := range lk.queues {
		lk.queues[i] = newSendQueue(l.options)
	}
	return lk
}

// preferred reports whether the node whose ID sorts first dialed this link.
func (lk *link) preferred() bool {
	return lk.dialed == (lk.linker.self.ID < lk.peer.id)
}

func (lk *link) done() <-chan struct{} { return lk.conn.Context().Done() }

func (lk *link) alive() bool { return lk.conn.Context().Err() == nil }

// close closes the connection, whereupon acceptStreams deactivates the link.
func (lk *link) close(code quic.ApplicationErrorCode, text string) {
	_ = lk.conn.CloseWithError(code, text)
}

// send queues one encoded message and returns the reason if it cannot; the caller may reuse buf unless retained is
// true.
func (lk *link) send(kind encoder.Kind, buf *bytes.Buffer) (retained bool, reason ErrorKind) {
	if !lk.alive() {
		return false, KindNoLink
	}
	if buf.Len() <= encoder.TargetFrameSize {
		return false, lk.queues[streamTypeOf(kind)].enqueue(buf.Bytes())
	}
	select {
	case lk.largeSlots <- struct{}{}:
	default:
		return false, KindQueueFull
	}
	if !lk.linker.runIfOpen(func() { lk.writeLarge(buf.Bytes()) }) {
		<-lk.largeSlots
		return false, KindNoLink
	}
	return true, ""
}

func (lk *link) writeLarge(encoded []byte) {
	defer func() { <-lk.largeSlots }()
	var batch encoder.Batch
	batch.Add(encoded)
	stream, err := lk.conn.OpenUniStreamSync(lk.conn.Context())
	if err == nil {
		_, err = stream.Write([]byte{byte(streamLarge)})
	}
	if err == nil {
		_, err = stream.Write(batch.Bytes())
	}
	if err != nil {
		lk.linker.meter.countDrops(dropLinkDown, 1)
		return
	}
	_ = stream.Close()
	lk.linker.meter.batches[outgoing].Inc()
}

// openControl opens the control stream and sends the hello of this node on it.
func (lk *link) openControl() (*quic.SendStream, error) {
	stream, err := lk.openStream(streamControl)
	if err != nil {
		return nil, err
	}
	hello, err := encoder.AppendHello(nil, lk.linker.self.ID)
	if err != nil {
		return nil, err
	}
	_, err = stream.Write(hello)
	return stream, err
}

func (lk *link) openStream(typ streamType) (*quic.SendStream, error) {
	stream, err := lk.conn.OpenUniStream()
	if err != nil {
		return nil, err
	}
	stream.SetPriority(typ.urgency(), true)
	_, err = stream.Write([]byte{byte(typ)})
	return stream, err
}

// start starts the goroutines of an activated link; out and in are its control streams after the hellos.
func (lk *link) start(out *quic.SendStream, in *bufio.Reader) {
	lk.activeReaders.Add(1)
	lk.linker.tasks.Go(func() { lk.readMessages(streamControl, in) })
	lk.linker.tasks.Go(lk.acceptStreams)
	lk.startWriter(streamControl, out)
	for typ := streamRequests; typ < longLivedStreams; typ++ {
		stream, err := lk.openStream(typ)
		if err != nil {
			lk.close(codeProtocol, "could not open a stream")
			return
		}
		lk.startWriter(typ, stream)
	}
}

func (lk *link) startWriter(typ streamType, stream *quic.SendStream) {
	onWrite := func(frames int) { lk.linker.meter.batches[outgoing].Add(frames) }
	lk.linker.tasks.Go(func() {
		if err := lk.queues[typ].run(stream, lk.done(), onWrite); err != nil {
			lk.close(codeProtocol, "could not write to a stream")
			return
		}
		_ = stream.Close()
	})
}

// acceptStreams accepts streams until the connection ends, and then deactivates the link.
func (lk *link) acceptStreams() {
	for {
		stream, err := lk.conn.AcceptUniStream(context.Background())
		if err != nil {
			lk.linker.deactivate(lk, err)
			return
		}
		lk.activeReaders.Add(1)
		lk.linker.tasks.Go(func() { lk.readStream(stream) })
	}
}

func (lk *link) readStream(stream *quic.ReceiveStream) {
	reader := bufio.NewReaderSize(stream, readBufferSize)
	typ, err := reader.ReadByte()
	if err != nil || streamType(typ) == streamControl || streamType(typ) > streamLarge {
		lk.close(codeProtocol, "a stream does not begin with a lane")
		return
	}
	lk.readMessages(streamType(typ), reader)
}

// readMessages delivers the messages of one stream in order.
func (lk *link) readMessages(typ streamType, source io.Reader) {
	defer lk.readerDone()
	reader := encoder.NewReader(source)
	for {
		frame, err := reader.Next()
		if err == io.EOF { //nolint:errorlint // Next returns io.EOF itself.
			if typ != streamLarge {
				lk.closedStreams.Add(1)
			}
			return
		}
		if err == nil {
			lk.linker.meter.batches[incoming].Inc()
			err = encoder.Decode(frame, lk.deliver)
		}
		if err != nil {
			if lk.alive() {
				lk.linker.meter.countDrops(dropMalformed, 1)
			}
			lk.close(codeProtocol, "could not read a stream")
			return
		}
	}
}

// readerDone closes the connection once the peer has closed all long-lived streams and every message was handled.
func (lk *link) readerDone() {
	if lk.activeReaders.Add(-1) == 0 && lk.closedStreams.Load() == int32(longLivedStreams) {
		lk.close(codeClosed, "the peer is done")
	}
}

// deliver passes a message to the handler, or drops it if a newer link to the peer has replaced this one.
func (lk *link) deliver(kind encoder.Kind, size int, m broker.Message) {
	lk.linker.meter.countMessage(incoming, kind, size)
	lk.peer.deliverMu.Lock()
	defer lk.peer.deliverMu.Unlock()
	if lk.peer.current != lk {
		lk.linker.meter.countDrops(dropReplaced, 1)
		return
	}
	lk.linker.handler.HandleMessage(lk.peer.id, m)
}

// drain writes all queued messages, closes the streams and waits until the peer has read them or ctx ends.
func (lk *link) drain(ctx context.Context) {
	for range cap(lk.largeSlots) {
		select {
		case lk.largeSlots <- struct{}{}:
		case <-lk.done():
		case <-ctx.Done():
		}
	}
	for _, queue := range lk.queues {
		queue.close()
	}
	select {
	case <-lk.done():
	case <-ctx.Done():
	}
	lk.close(codeClosed, "the node is done")
}
