package forwarder

import (
	"slices"
	"strings"
	"testing"

	"github.com/yuccarock/yuccarock/internal/broker"
)

// record returns text as a record of 16 bytes.
func record(text string) string { return text + strings.Repeat(" ", 16-len(text)) }

// TestPartSet guards against an answer that names two parts of one shard, or that holds records of a part that it does
// not name, when the answers to a delegation and to a hedge of the same shard both arrive.
func TestPartSet(t *testing.T) {
	single := func(shard broker.ShardName) func(*partSet) {
		return func(p *partSet) {
			p.add(shard, &broker.OpaqueAnswer{Body: []byte(record("single " + string(shard))), Signature: "single-" + string(shard)})
		}
	}
	merged := func(shards ...broker.ShardName) func(*partSet) {
		return func(p *partSet) {
			parts := &mergedParts{shards: shards}
			for _, shard := range shards {
				parts.signatures = append(parts.signatures, "merged-"+string(shard))
				parts.records = append(parts.records, record("merged "+string(shard))...)
			}
			p.addMerged(parts)
		}
	}
	tests := []struct {
		name string
		adds []func(*partSet)
		want []string // signatures; each has one record
	}{
		{name: "single parts", adds: []func(*partSet){single("a"), single("b"), single("a")}, want: []string{"single-a", "single-b"}},
		{name: "both kinds", adds: []func(*partSet){single("a"), merged("b", "c")}, want: []string{"merged-b", "merged-c", "single-a"}},
		{name: "hedge first", adds: []func(*partSet){single("b"), merged("b", "c")}, want: []string{"merged-b", "merged-c"}},
		{name: "hedge last", adds: []func(*partSet){merged("b", "c"), single("c")}, want: []string{"merged-b", "merged-c"}},
		{name: "two messages", adds: []func(*partSet){merged("a", "b"), single("c"), merged("c")},
			want: []string{"merged-a", "merged-b", "merged-c"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			set := &partSet{}
			for _, add := range tt.adds {
				add(set)
			}
			records, got := set.top(10)
			slices.Sort(got)
			if !slices.Equal(got, tt.want) || set.len() != len(tt.want) {
				t.Errorf("signatures: got %v of %d parts, want %v", got, set.len(), tt.want)
			}
			var want []string
			for _, signature := range tt.want {
				want = append(want, record(strings.Replace(signature, "-", " ", 1)))
			}
			slices.Sort(want)
			slices.Reverse(want)
			if string(records) != strings.Join(want, "") {
				t.Errorf("records: got %q, want %q", records, want)
			}
		})
	}
}
