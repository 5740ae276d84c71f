package encoder

import (
	"bytes"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/yuccarock/yuccarock/internal/broker"
)

const (
	// maxNesting exceeds the depth of the deepest message (release, claims, answer, coverage, missing shard) and
	// leaves a margin for fields that later versions add.
	maxNesting = 16
	// maxArrayElements bounds each array in a message; the largest are the hits of an answer and the claims of a
	// release.
	maxArrayElements = 64 << 10
	// maxMapPairs bounds each map in a message; only structures are encoded as maps, the largest with 16 fields.
	maxMapPairs = 64
	// maxYear is the last year that RFC 3339 can represent.
	maxYear = 9999
)

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

// mustEncMode encodes times as RFC 3339 strings, because the numeric time formats of CBOR lose nanoseconds.
func mustEncMode() cbor.UserBufferEncMode {
	mode, err := cbor.EncOptions{
		Time:       cbor.TimeRFC3339NanoUTC,
		NaNConvert: cbor.NaNConvertReject,
		InfConvert: cbor.InfConvertReject,
	}.UserBufferEncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  maxNesting,
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		NaN:              cbor.NaNDecodeForbidden,
		Inf:              cbor.InfDecodeForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// AppendMessage appends one encoded message to buf and returns its kind. An error is of type *Error, with KindInvalid
// or KindTooLarge, and leaves buf unchanged.
func AppendMessage(buf *bytes.Buffer, m *broker.Message) (Kind, error) {
	const op = "encode a message"
	kind := KindOf(m)
	if kind == KindNone {
		return KindNone, failure(op, KindInvalid, "the message does not have exactly one field set")
	}
	if !hasValidTimes(m) {
		return KindNone, failure(op, KindInvalid, "a time is outside the years 0 to 9999")
	}
	start := buf.Len()
	if err := encMode.MarshalToBuffer(m, buf); err != nil {
		buf.Truncate(start)
		return KindNone, wrap(op, KindInvalid, err)
	}
	if buf.Len()-start > MaxFrameSize-frameOverhead {
		buf.Truncate(start)
		return KindNone, failure(op, KindTooLarge, "the message exceeds the maximum frame size")
	}
	return kind, nil
}

// decodeMessage decodes the first message of data into m and returns its kind and the remaining bytes; m shares no
// memory with data.
func decodeMessage(data []byte, m *broker.Message) (Kind, []byte, error) {
	const op = "decode a message"
	rest, err := decMode.UnmarshalFirst(data, m)
	if err != nil {
		return KindNone, nil, wrap(op, KindMalformed, err)
	}
	kind := KindOf(m)
	if kind == KindNone || !hasValidTimes(m) {
		return KindNone, nil, failure(op, KindMalformed,
			"the message does not have exactly one field set, or a time is out of range")
	}
	return kind, rest, nil
}

// hasValidTimes reports whether each time can be written in RFC 3339, which is not certain for a time decoded from a
// number.
func hasValidTimes(m *broker.Message) bool {
	if m.Release == nil {
		return true
	}
	for i := range m.Release.Claims {
		shard := &m.Release.Claims[i]
		if !isValidTime(shard.Fence) {
			return false
		}
		for j := range shard.Claims {
			if !isValidTime(shard.Claims[j].Claimed) {
				return false
			}
		}
	}
	return true
}

func isValidTime(t time.Time) bool {
	year := t.UTC().Year()
	return year >= 0 && year <= maxYear
}
