package collator

import (
	"strings"
	"testing"
)

// record returns a record that starts with text.
func record(text string) string { return text + strings.Repeat(".", RecordSize-len(text)) }

// TestTop guards against lost, truncated or misordered records in a merged answer.
func TestTop(t *testing.T) {
	tests := []struct {
		name  string
		parts []string
		limit int
		want  string
	}{
		{name: "no parts", limit: 3},
		{name: "order", parts: []string{record("a") + record("c"), record("b")}, limit: 3,
			want: record("c") + record("b") + record("a")},
		{name: "limit", parts: []string{record("a") + record("c"), record("b")}, limit: 1, want: record("c")},
		{name: "duplicates are kept", parts: []string{record("a"), record("a")}, limit: 2, want: record("a") + record("a")},
		{name: "remainder is ignored", parts: []string{record("a") + "zzz", "zz"}, limit: 5, want: record("a")},
		{name: "bytes above 127 are greater", parts: []string{record("z"), record("\xff")}, limit: 1, want: record("\xff")},
	}
	for _, tt := range tests {
		var parts [][]byte
		for _, part := range tt.parts {
			parts = append(parts, []byte(part))
		}
		if got := string(Top(parts, tt.limit)); got != tt.want {
			t.Errorf("%s: got %q, want %q", tt.name, got, tt.want)
		}
	}
}
