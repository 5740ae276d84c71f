package forwarder

import (
	"testing"
	"time"
)

// TestSpreadRetry guards against callers that return before servers take requests, all at once, or later than they wait.
func TestSpreadRetry(t *testing.T) {
	tests := []struct {
		wait                  time.Duration
		wantFirst, wantBefore time.Duration
	}{
		{0, noServerRetry, 2 * noServerRetry},
		{time.Millisecond, noServerRetry, 2 * noServerRetry},
		{time.Second, time.Second, 2 * time.Second},
		{time.Minute, maxLimitRetry / 2, maxLimitRetry},
	}
	for _, tt := range tests {
		if got := spreadRetry(tt.wait, 0); got != tt.wantFirst {
			t.Errorf("wait %s, first caller: got %s, want %s", tt.wait, got, tt.wantFirst)
		}
		if got := spreadRetry(tt.wait, 1); got != tt.wantBefore {
			t.Errorf("wait %s, last caller: got %s, want %s", tt.wait, got, tt.wantBefore)
		}
	}
}
