package registrar

import (
	"testing"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/state/indexer"
	"github.com/yuccarock/yuccarock/internal/broker/state/tracker"
)

// noSink takes what the registrar tells a dispatcher.
type noSink struct{}

func (noSink) SetTable(*indexer.Table)       {}
func (noSink) Retain(broker.ServerName, int) {}

// TestAdopt guards against a configuration that goes back, as after an answer of the store that is older than one before,
// or from a host that is behind.
func TestAdopt(t *testing.T) {
	r := New(tracker.New(), noSink{}, nil)
	tests := []struct {
		version broker.Revision
		want    broker.Revision // in force after it
	}{{5, 5}, {3, 5}, {5, 5}, {6, 6}}
	for _, tt := range tests {
		before := broker.Revision(0)
		if view := r.View(); view != nil {
			before = view.Catalog.Version
		}
		adopted := r.Adopt(&broker.Catalog{Version: tt.version})
		if got := r.View().Catalog.Version; got != tt.want || adopted != (got != before) {
			t.Errorf("version %d after %d: got %d in force, adopted %v, want %d", tt.version, before, got, adopted, tt.want)
		}
	}
}
