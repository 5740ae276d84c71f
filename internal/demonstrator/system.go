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

// System is the demonstrated system with the load that runs on it.
type System struct {
	*testbed.System
	Out io.Writer

	settings testbed.Settings
	caller   *caller.Client
	load     *load
	loadDone sync.WaitGroup
	stopLoad context.CancelFunc
	report   report
}

// New returns a system of which nothing runs yet; results are printed to out.
func New(out io.Writer, logger *slog.Logger) *System {
	settings := defaultSettings()
	settings.Logger = logger
	return &System{Out: out, settings: settings}
}

// pause lets the load run for a while.
func pause(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// close stops the daemons in the planned way, and then the stand-ins.
func (s *System) close() error {
	if s.stopLoad != nil {
		s.stopLoad()
		s.loadDone.Wait()
	}
	if s.System == nil {
		return nil
	}
	s.report.sent = s.Counter("yuccarock_sub_requests_total")
	s.report.extra = s.Counter("yuccarock_hedges_total") + s.Counter("yuccarock_retries_total")
	return s.Close()
}
