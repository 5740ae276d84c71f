package encoder

import (
	"bytes"
	"encoding/binary"
	"io"

	"github.com/yuccarock/yuccarock/internal/broker"
)

const (
	// Protocol is the version of the peer protocol; nodes of another version refuse the link.
	Protocol = 1
	// maxHello bounds the only bytes that are read from a peer before its name is checked.
	maxHello = 1 << 10
)

// Hello is the first message on a link, in both directions.
type Hello struct {
	Protocol uint64        `cbor:"1,keyasint"`
	Node     broker.NodeID `cbor:"2,keyasint"`
}

// AppendHello encodes the hello of a node with a length prefix at the end of data.
func AppendHello(data []byte, node broker.NodeID) ([]byte, error) {
	var buf bytes.Buffer
	if err := encMode.MarshalToBuffer(Hello{Protocol: Protocol, Node: node}, &buf); err != nil {
		return data, wrap("encode a hello", KindInvalid, err)
	}
	data = binary.BigEndian.AppendUint32(data, uint32(buf.Len()))
	return append(data, buf.Bytes()...), nil
}

// ReadHello reads the hello at the beginning of a stream.
func ReadHello(source io.Reader) (Hello, error) {
	const op = "read a hello"
	var head [lengthSize]byte
	if _, err := io.ReadFull(source, head[:]); err != nil {
		return Hello{}, wrap(op, KindRead, err)
	}
	size := binary.BigEndian.Uint32(head[:])
	if size > maxHello {
		return Hello{}, failure(op, KindTooLarge, "the hello is too long")
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(source, data); err != nil {
		return Hello{}, wrap(op, KindRead, err)
	}
	var hello Hello
	if err := decMode.Unmarshal(data, &hello); err != nil {
		return Hello{}, wrap(op, KindMalformed, err)
	}
	if hello.Protocol != Protocol || hello.Node == "" {
		return Hello{}, failure(op, KindMalformed, "the protocol version differs or the node is not named")
	}
	return hello, nil
}
