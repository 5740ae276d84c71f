package dispatcher

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"testing"
)

// TestBodyMemory guards against small answers that fail because large ones take all memory, against large ones that
// exceed their half of it, and against a body that breaks off and passes for a complete one.
func TestBodyMemory(t *testing.T) {
	const limit = 1 << 20
	tests := []struct {
		name    string
		size    int
		stated  bool  // the answer states its length
		end     error // after the bytes
		used    int64 // by other answers
		wantErr error
	}{
		{name: "small beside large ones", size: 300, used: limit / 2},
		{name: "small with a length beside large ones", size: 300, stated: true, used: limit / 2},
		{name: "small without memory", size: 300, used: limit, wantErr: errTooLarge},
		{name: "several chunks", size: 3*chunkSize + 7},
		{name: "whole chunks", size: 2 * chunkSize},
		{name: "large beside large ones", size: 2 * chunkSize, used: limit / 2, wantErr: errTooLarge},
		{name: "over half of the memory", size: limit/2 + 1, wantErr: errTooLarge},
		{name: "over the limit of an answer", size: limit/4 + 1, wantErr: errTooLarge},
		{name: "broken off", size: 300, end: io.ErrUnexpectedEOF, wantErr: io.ErrUnexpectedEOF},
		{name: "broken off after whole chunks", size: 2 * chunkSize, end: io.ErrUnexpectedEOF, wantErr: io.ErrUnexpectedEOF},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := budget{limit: limit}
			b.used.Store(tt.used)
			held := &holding{budget: &b}
			sent := bytes.Repeat([]byte("y"), tt.size)
			response := &http.Response{ContentLength: -1, Body: io.NopCloser(endingReader{bytes.NewReader(sent), tt.end})}
			if tt.stated {
				response.ContentLength = int64(tt.size)
			}
			got, err := readBody(response, limit/4, held)
			if !errors.Is(err, tt.wantErr) {
				t.Fatalf("readBody(): got %v, want %v", err, tt.wantErr)
			}
			if err == nil && !bytes.Equal(got, sent) {
				t.Errorf("body: got %d bytes, want the %d that were sent", len(got), len(sent))
			}
			held.release()
			if got := b.used.Load(); got != tt.used {
				t.Errorf("memory in use afterwards: got %d, want %d", got, tt.used)
			}
		})
	}
}

// endingReader returns end, if it is set, in place of io.EOF.
type endingReader struct {
	from io.Reader
	end  error
}

// Read reads from the reader.
func (r endingReader) Read(data []byte) (int, error) {
	n, err := r.from.Read(data)
	if errors.Is(err, io.EOF) && r.end != nil {
		err = r.end
	}
	return n, err
}
