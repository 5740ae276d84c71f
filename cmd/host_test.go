package cmd

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"

	"github.com/yuccarock/yuccarock/internal/forwarder"
	"github.com/yuccarock/yuccarock/platform"
)

// TestReload guards against a hangup signal that ends the process, and against invalid settings that are applied.
func TestReload(t *testing.T) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	loads := []struct {
		slack int
		err   error
	}{{slack: 10}, {err: errors.New("invalid settings")}, {slack: 30}}
	next := 0
	applied := make(chan int, len(loads))
	loaded := make(chan struct{}, len(loads))
	go reload(ctx, hangups, func() (platform.Settings, error) {
		load := loads[next]
		next++
		loaded <- struct{}{}
		return platform.Settings{Settings: forwarder.Settings{RetrySlack: load.slack}}, load.err
	}, func(settings forwarder.Settings) bool {
		applied <- settings.RetrySlack
		return true
	}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	for range loads {
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		select {
		case <-loaded:
		case <-time.After(10 * time.Second):
			t.Fatal("the settings were not read after a hangup signal")
		}
	}
	for _, want := range []int{10, 30} {
		if got := <-applied; got != want {
			t.Errorf("applied retry slack: got %d, want %d", got, want)
		}
	}
}
