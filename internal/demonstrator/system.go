package demonstrator

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/yuccarock/yuccarock/internal/standin/testbed"
	"github.com/yuccarock/yuccarock/pkg/caller"
)

// System is the demonstrated system together with its load.
type System struct {
	*testbed.System
	Out io.Writer

	settings testbed.Settings
	caller   *caller.Client
	load     *load
	loadDone sync.WaitGroup
	stopLoad context.CancelFunc
	measured measurements
}

// New returns a system that is not yet started; its steps and results are printed to out.
func New(out io.Writer, logger *slog.Logger) *System {
	settings := defaultSettings()
	settings.Logger = logger
	return &System{Out: out, settings: settings}
}

// pause waits for the duration or until ctx ends, while the load continues.
func pause(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// close stops the load, then the daemons gracefully, then the stand-ins.
func (s *System) close() error {
	if s.stopLoad != nil {
		s.stopLoad()
		s.loadDone.Wait()
	}
	if s.System == nil {
		return nil
	}
	s.measured.subRequests = s.Counter("yuccarock_sub_requests_total")
	s.measured.extraSubRequests = s.Counter("yuccarock_hedges_total") + s.Counter("yuccarock_retries_total")
	return s.Close()
}
