package dispatcher

import "testing"

// TestSharedSockets guards against servers that take all sockets of the process, so that none is left for connections to others.
func TestSharedSockets(t *testing.T) {
	shared := &sockets{limit: 8}
	shared.divide(2)
	greedy, modest := &pool{limit: 20, sockets: shared}, &pool{limit: 3, sockets: shared}
	open := func(p *pool) (opened int) {
		for p.addConnection() {
			opened++
		}
		return opened
	}
	tests := []struct {
		name string
		got  int
		want int
	}{
		{"own and all shared ones of one server", open(greedy), 2 + 4},
		{"own ones of the other", open(modest), 2},
	}
	for _, tt := range tests {
		if tt.got != tt.want {
			t.Errorf("connections, %s: got %d, want %d", tt.name, tt.got, tt.want)
		}
	}
	for range 2 {
		greedy.connClosed()
	}
	if got, want := open(modest), 1; got != want {
		t.Errorf("connections of the other server within its limit: got %d more, want %d", got, want)
	}
	for greedy.total > 0 {
		greedy.connClosed()
	}
	for modest.total > 0 {
		modest.connClosed()
	}
	if got := shared.used.Load(); got != 0 {
		t.Errorf("shared connections in use at the end: got %d, want 0", got)
	}
}
