package encoder

import (
	"bytes"
	"encoding/hex"
	"errors"
	"net/netip"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
)

// fillNonZero sets v and all fields in it to values other than zero, so that the comparison after a round trip finds a
// field that is not encoded. Each value is derived from counter, which is incremented.
func fillNonZero(v reflect.Value, counter *int64) {
	*counter++
	switch v.Interface().(type) {
	case time.Time:
		v.Set(reflect.ValueOf(time.Unix(1_800_000_000+*counter, 123_456_789).UTC()))
		return
	case netip.AddrPort:
		v.Set(reflect.ValueOf(netip.AddrPortFrom(netip.MustParseAddr("2001:db8::7"), uint16(*counter))))
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fillNonZero(v.Elem(), counter)
	case reflect.Struct:
		for i := range v.NumField() {
			fillNonZero(v.Field(i), counter)
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		fillNonZero(v.Index(0), counter)
		fillNonZero(v.Index(1), counter)
	case reflect.String:
		v.SetString(strings.Repeat("å", int(*counter%5)+1))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float64:
		v.SetFloat(float64(*counter) + 0.1)
	case reflect.Int, reflect.Int64:
		v.SetInt(-*counter * 1000)
	default:
		v.SetUint(uint64(*counter%200) + 1)
	}
}

func messageOfEachKind() []broker.Message {
	fields := reflect.TypeFor[broker.Message]().NumField()
	messages := make([]broker.Message, fields)
	counter := int64(0)
	for i := range fields {
		fillNonZero(reflect.ValueOf(&messages[i]).Elem().Field(i), &counter)
	}
	return messages
}

func encodeAll(t testing.TB, messages ...broker.Message) []byte {
	t.Helper()
	var batch Batch
	for i := range messages {
		var buf bytes.Buffer
		if _, err := AppendMessage(&buf, &messages[i]); err != nil {
			t.Fatal(err)
		}
		batch.Add(buf.Bytes())
	}
	return batch.Bytes()
}

// Guards against a message type or field that is lost in encoding, such as the nanoseconds of a time or a field
// without a key, and against decoded values that share memory with the reader's buffer.
func TestRoundTripOfEveryMessage(t *testing.T) {
	want := messageOfEachKind()
	reader := NewReader(bytes.NewReader(encodeAll(t, want...)))
	frame, err := reader.Next()
	if err != nil {
		t.Fatal(err)
	}
	var got []broker.Message
	kinds := map[Kind]bool{}
	err = Decode(frame, func(kind Kind, _ int, m broker.Message) {
		got = append(got, m)
		kinds[kind] = true
	})
	if err != nil {
		t.Fatal(err)
	}
	clear(frame)
	if !reflect.DeepEqual(got, want) {
		t.Errorf("decoded messages: got %+v, want %+v", got, want)
	}
	if len(kinds) != int(KindCount)-1 || len(kinds) != len(want) || kinds[KindNone] {
		t.Errorf("got kinds %v, want all %d kinds except none", kinds, KindCount-1)
	}
}

// Guards against a batch whose frames exceed the limits of a receiver or that loses messages between two frames.
func TestBatchSplitsIntoFramesWithinLimits(t *testing.T) {
	tests := []struct{ body, messages, frames int }{
		{body: 30 << 10, messages: 5, frames: 3},
		{body: 0, messages: MaxFrameMessages + 1, frames: 2},
		{body: 2 * TargetFrameSize, messages: 2, frames: 2},
	}
	for _, test := range tests {
		messages := make([]broker.Message, test.messages)
		for i := range messages {
			messages[i].Cancel = &broker.Cancel{Attempt: uint32(i), RequestID: strings.Repeat("x", test.body)}
		}
		var got []broker.Message
		frames, reader := 0, NewReader(bytes.NewReader(encodeAll(t, messages...)))
		for frame, err := reader.Next(); err == nil; frame, err = reader.Next() {
			frames++
			err := Decode(frame, func(_ Kind, _ int, m broker.Message) { got = append(got, m) })
			if err != nil {
				t.Errorf("%+v: %v", test, err)
			}
		}
		if frames != test.frames || !reflect.DeepEqual(got, messages) {
			t.Errorf("got %d frames with %d messages, want %+v", frames, len(got), test)
		}
	}
}

// Guards against encoding a message that no receiver accepts.
func TestAppendMessageRefuses(t *testing.T) {
	year12000 := time.Date(12000, 1, 1, 0, 0, 0, 0, time.UTC)
	tests := []struct {
		name    string
		message broker.Message
		want    ErrorKind
	}{
		{"empty", broker.Message{}, KindInvalid},
		{"two fields", broker.Message{Cancel: &broker.Cancel{}, Heartbeat: &broker.Heartbeat{}}, KindInvalid},
		{"too large", broker.Message{Config: &broker.ConfigObject{Value: make([]byte, MaxFrameSize)}}, KindTooLarge},
		{"time", broker.Message{Release: &broker.Release{Claims: []broker.ShardClaims{{Fence: year12000}}}}, KindInvalid},
	}
	for _, test := range tests {
		buf := bytes.NewBufferString("kept")
		_, err := AppendMessage(buf, &test.message)
		var got *Error
		if !errors.As(err, &got) || got.Kind != test.want || buf.String() != "kept" {
			t.Errorf("%s: got error %v and %d bytes, want kind %s and an unchanged buffer", test.name, err, buf.Len(),
				test.want)
		}
	}
}

var malformedFrames = []string{
	"", "990000", "990001", "990001a0", "990001a101a101", "990001a20ca0", "990002a10aa10105",
	"990001a10aa1010500",                     // one byte after the last message
	"990001a20aa101050aa10106",               // the same key twice
	"990001a109a103819bffffffffffffffff",     // an array of 2^64-1 elements
	"990001a109a10381a1031b000000ffffffffff", // the year 36812 as a number
	"990001a103a10e" + strings.Repeat("81", 40),
	"990001a104a10981a102fb7ff8000000000000", // NaN as a score
	"9f990001a10aa10105",
}

// Guards against accepting malformed frames, which a peer of another version or with faulty memory may send.
func TestDecodeRefusesMalformedFrames(t *testing.T) {
	for _, text := range malformedFrames {
		frame, err := hex.DecodeString(text)
		if err != nil {
			t.Fatal(err)
		}
		var got *Error
		if err := Decode(frame, func(Kind, int, broker.Message) {}); !errors.As(err, &got) {
			t.Errorf("frame %s: got error %v, want an *Error", text, err)
		}
	}
	var got *Error
	if _, err := NewReader(bytes.NewReader([]byte{0xff, 0, 0, 0})).Next(); !errors.As(err, &got) ||
		got.Kind != KindTooLarge {
		t.Errorf("oversized frame: got error %v, want kind %s", err, KindTooLarge)
	}
}

// Guards against panics on arbitrary frames, and against accepted messages that change when they are encoded and
// decoded again.
func FuzzDecode(f *testing.F) {
	for _, m := range messageOfEachKind() {
		f.Add(encodeAll(f, m)[lengthPrefixSize:])
	}
	f.Add(encodeAll(f, messageOfEachKind()...)[lengthPrefixSize:])
	for _, text := range malformedFrames {
		frame, _ := hex.DecodeString(text)
		f.Add(frame)
	}
	decode := func(frame []byte) (messages []broker.Message, err error) {
		err = Decode(frame, func(_ Kind, _ int, m broker.Message) { messages = append(messages, m) })
		return messages, err
	}
	f.Fuzz(func(t *testing.T, frame []byte) {
		decoded, err := decode(frame)
		if err != nil {
			return
		}
		encoded := encodeAll(t, decoded...)
		var redecoded []broker.Message
		reader := NewReader(bytes.NewReader(encoded))
		for next, err := reader.Next(); err == nil; next, err = reader.Next() {
			messages, err := decode(next)
			if err != nil {
				t.Fatalf("could not decode the re-encoded messages of frame %x: %v", frame, err)
			}
			redecoded = append(redecoded, messages...)
		}
		// Encoded bytes are compared, because a time zone or an empty list has several representations in memory.
		if reencoded := encodeAll(t, redecoded...); len(decoded) != len(redecoded) || !bytes.Equal(encoded, reencoded) {
			t.Errorf("encoding after another round trip: got %x, want %x", reencoded, encoded)
		}
	})
}
