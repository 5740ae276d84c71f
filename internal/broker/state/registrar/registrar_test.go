package registrar

import (
	"testing"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/state/indexer"
	"github.com/yuccarock/yuccarock/internal/broker/state/tracker"
)

// fakeSink ignores all calls.
type fakeSink struct{}

func (fakeSink) SetTable(*indexer.Table)       {}
func (fakeSink) Retain(broker.ServerName, int) {}

// TestAdopt checks that an older configuration never replaces a newer one. The store may answer with an older version
// than before, and another host may be behind.
func TestAdopt(t *testing.T) {
	r := New(tracker.New(), fakeSink{}, "a", nil)
	tests := []struct {
		version broker.Revision
		want    broker.Revision // in force afterwards
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
