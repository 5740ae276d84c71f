package owner

import (
	"testing"
	"time"

	"github.com/yuccarock/yuccarock/pkg/configurator"
)

// TestReadyConnections guards against more connections held open than a server's cap, and against dialing for each probe
// where a new connection is dear.
func TestReadyConnections(t *testing.T) {
	tests := []struct {
		name string
		give *configurator.Server
		want int
	}{
		{name: "not configured", give: nil, want: 0},
		{name: "cheap", give: &configurator.Server{Slots: 4, Connections: 100, ConnectionCost: configurator.Duration(time.Millisecond)}, want: 4},
		{name: "dear", give: &configurator.Server{Slots: 2, Connections: 25, ConnectionCost: configurator.Duration(6 * time.Millisecond)}, want: 3},
		{name: "dear at the cap", give: &configurator.Server{Slots: 2, Connections: 2, ConnectionCost: configurator.Duration(6 * time.Millisecond)}, want: 2},
	}
	for _, tt := range tests {
		if got := readyConnections(tt.give); got != tt.want {
			t.Errorf("%s: got %d, want %d", tt.name, got, tt.want)
		}
	}
}
