package owner

import (
	"testing"
	"time"

	"github.com/yuccarock/yuccarock/pkg/configurator"
)

// TestConnectionsToKeepOpen guards against keeping more connections open than a server's limit, and against dialing for
// each status probe where new connections are expensive.
func TestConnectionsToKeepOpen(t *testing.T) {
	tests := []struct {
		name string
		give *configurator.Server
		want int
	}{
		{name: "not configured", give: nil, want: 0},
		{name: "cheap", give: &configurator.Server{Slots: 4, Connections: 100, ConnectionCost: configurator.Duration(time.Millisecond)}, want: 4},
		{name: "dear", give: &configurator.Server{Slots: 2, Connections: 25, ConnectionCost: configurator.Duration(6 * time.Millisecond)}, want: 3},
		{name: "dear at the limit", give: &configurator.Server{Slots: 2, Connections: 2, ConnectionCost: configurator.Duration(6 * time.Millisecond)}, want: 2},
	}
	for _, tt := range tests {
		if got := connectionsToKeepOpen(tt.give); got != tt.want {
			t.Errorf("%s: got %d, want %d", tt.name, got, tt.want)
		}
	}
}
