package encoder

import (
	"bytes"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/yuccarock/yuccarock/internal/broker"
)

const (
	// maxNesting is above the deepest message (release, claims, answer, coverage, missing shard) by a margin
	// for fields that later versions add.
	maxNesting = 16
	// maxElements bounds every array inside a message; the largest are the hits of an answer and the claims of
	// a release.
	maxElements = 64 << 10
	// maxPairs bounds every map; messages have maps only for structures, the largest with 16 fields.
	maxPairs = 64
	// maxYear is the last year that RFC 3339 can express.
	maxYear = 9999
)

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

// Times are RFC 3339 strings because CBOR's number forms lose nanoseconds.
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
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxPairs,
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

// AppendMessage encodes one message at the end of buf and returns its kind; on an error buf is unchanged.
func AppendMessage(buf *bytes.Buffer, m *broker.Message) (Kind, error) {
	const op = "encode a message"
	kind := KindOf(m)
	if kind == KindNone {
		return KindNone, failure(op, KindInvalid, "not exactly one field is set")
	}
	if !timesValid(m) {
		return KindNone, failure(op, KindInvalid, "a time is outside the years 0 to 9999")
	}
	start := buf.Len()
	if err := encMode.MarshalToBuffer(m, buf); err != nil {
		buf.Truncate(start)
		return KindNone, wrap(op, KindInvalid, err)
	}
	if buf.Len()-start > MaxFrame-frameOverhead {
		buf.Truncate(start)
		return KindNone, failure(op, KindTooLarge, "the message exceeds the largest frame")
	}
	return kind, nil
}

// decodeMessage decodes the first message of data, which it does not keep, and returns the rest.
func decodeMessage(data []byte, m *broker.Message) (Kind, []byte, error) {
	const op = "decode a message"
	rest, err := decMode.UnmarshalFirst(data, m)
	if err != nil {
		return KindNone, nil, wrap(op, KindMalformed, err)
	}
	kind := KindOf(m)
	if kind == KindNone || !timesValid(m) {
		return KindNone, nil, failure(op, KindMalformed, "not exactly one field is set, or a time is out of range")
	}
	return kind, rest, nil
}

// timesValid returns whether each time has an RFC 3339 form, which decoding from a number does not ensure.
func timesValid(m *broker.Message) bool {
	if m.Release == nil {
		return true
	}
	for i := range m.Release.Claims {
		shard := &m.Release.Claims[i]
		if !timeValid(shard.Fence) {
			return false
		}
		for j := range shard.Claims {
			if !timeValid(shard.Claims[j].Claimed) {
				return false
			}
		}
	}
	return true
}

func timeValid(t time.Time) bool {
	year := t.UTC().Year()
	return year >= 0 && year <= maxYear
}
