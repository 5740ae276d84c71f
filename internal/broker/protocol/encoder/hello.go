package encoder

import (
	"bytes"
	"encoding/binary"
	"io"

	"github.com/yuccarock/yuccarock/internal/broker"
)

const (
	// ProtocolVersion is the version of the peer protocol; a node rejects links from nodes with another version.
	ProtocolVersion = 1
	// maxHelloSize is the maximum size of a hello in bytes; nothing else is read from a peer before its name is verified.
	maxHelloSize = 1 << 10
)

// Hello is the first message that each node sends on a link.
type Hello struct {
	ProtocolVersion uint64        `cbor:"1,keyasint"`
	Node            broker.NodeID `cbor:"2,keyasint"`
}

// AppendHello appends the hello of a node to data, with a length prefix.
func AppendHello(data []byte, node broker.NodeID) ([]byte, error) {
	var buf bytes.Buffer
	if err := encMode.MarshalToBuffer(Hello{ProtocolVersion: ProtocolVersion, Node: node}, &buf); err != nil {
		return data, wrap("encode a hello", KindInvalid, err)
	}
	data = binary.BigEndian.AppendUint32(data, uint32(buf.Len()))
	return append(data, buf.Bytes()...), nil
}

// ReadHello reads the hello at the beginning of a stream; it fails if the protocol version differs or the node ID is
// empty.
func ReadHello(source io.Reader) (Hello, error) {
	const op = "read a hello"
	var prefix [lengthPrefixSize]byte
	if _, err := io.ReadFull(source, prefix[:]); err != nil {
		return Hello{}, wrap(op, KindRead, err)
	}
	size := binary.BigEndian.Uint32(prefix[:])
	if size > maxHelloSize {
		return Hello{}, failure(op, KindTooLarge, "the hello exceeds the maximum size")
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(source, data); err != nil {
		return Hello{}, wrap(op, KindRead, err)
	}
	var hello Hello
	if err := decMode.Unmarshal(data, &hello); err != nil {
		return Hello{}, wrap(op, KindMalformed, err)
	}
	if hello.ProtocolVersion != ProtocolVersion || hello.Node == "" {
		return Hello{}, failure(op, KindMalformed, "the protocol version differs or the node ID is empty")
	}
	return hello, nil
}
