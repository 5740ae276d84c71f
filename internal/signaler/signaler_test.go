package signaler

import (
	"context"
	"log/slog"
	"os"
	"syscall"
	"testing"
	"time"
)

// testTimeout is the timeout for the effect of a signal.
const testTimeout = 10 * time.Second

// TestStops guards against a stop signal that is repeated and ends the process with requests in progress, and against a second
// interrupt of a terminal that does not.
func TestStops(t *testing.T) {
	const term, interrupt = syscall.SIGTERM, syscall.SIGINT
	tests := []struct {
		name    string
		signals []syscall.Signal
		want    bool // forced
	}{
		{"stop", []syscall.Signal{term}, false},
		{"stops that overlap", []syscall.Signal{term, term, term, term, term, term, term, term, term, term}, false},
		{"interrupt", []syscall.Signal{interrupt}, false},
		{"interrupt during a stop", []syscall.Signal{term, interrupt, term}, false},
		{"stop during an interrupt", []syscall.Signal{interrupt, term, term}, false},
		{"two interrupts", []syscall.Signal{interrupt, interrupt}, true},
		{"two interrupts during a stop", []syscall.Signal{term, interrupt, term, interrupt}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			stop, force, release := Stops(context.Background(), slog.New(slog.DiscardHandler))
			defer release()
			for _, each := range tt.signals {
				raise(t, each)
				time.Sleep(5 * time.Millisecond) // equal signals that are pending are delivered once
			}
			if !done(stop, testTimeout) {
				t.Error("planned stop: got none")
			}
			wait := 50 * time.Millisecond
			if tt.want {
				wait = testTimeout
			}
			if got := done(force, wait); got != tt.want {
				t.Errorf("forced: got %t, want %t", got, tt.want)
			}
		})
	}
}

func done(ctx context.Context, wait time.Duration) bool {
	select {
	case <-ctx.Done():
		return true
	case <-time.After(wait):
		return false
	}
}

func raise(t *testing.T, signal syscall.Signal) {
	t.Helper()
	if err := syscall.Kill(os.Getpid(), signal); err != nil {
		t.Fatal(err)
	}
}

// TestEarlyHangup guards against a reload signal that ends a process which has just started, or that is forgotten.
func TestEarlyHangup(t *testing.T) {
	previous := hangups
	defer func() { hangups = previous }()
	hangups = catchHangups([]string{"yuccarock", "host"})
	raise(t, syscall.SIGHUP)
	time.Sleep(10 * time.Millisecond)
	received, release := Hangups()
	defer release()
	select {
	case <-received:
	case <-time.After(testTimeout):
		t.Error("signal before the command was ready for it: got none")
	}
}
