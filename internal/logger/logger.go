package logger

import (
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// maxQueuedLines is the maximum number of lines queued for a slow output.
	maxQueuedLines = 1024
	// closeTimeout bounds each of the two waits for the output at the end of the process.
	closeTimeout = 500 * time.Millisecond
)

// Logger writes log lines asynchronously.
type Logger struct {
	*slog.Logger

	out     io.Writer
	lines   chan []byte
	done    chan struct{}
	closed  atomic.Bool
	dropped *metrics.Counter
	written *metrics.Counter
}

// New returns a logger that writes JSON lines at or above level to out. Lines are dropped while maxQueuedLines are
// waiting; written and dropped lines are counted in set.
func New(out io.Writer, level slog.Leveler, set *metrics.Set) *Logger {
	l := &Logger{
		out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{}),
		dropped: set.GetOrCreateCounter("yuccarock_log_lines_dropped_total"),
		written: set.GetOrCreateCounter("yuccarock_log_lines_written_total"),
	}
	l.Logger = slog.New(slog.NewJSONHandler(queueWriter{l}, &slog.HandlerOptions{Level: level}))
	go l.run()
	return l
}

// queueWriter is the output of the slog handler; it queues copies, because the handler reuses its buffer.
type queueWriter struct{ logger *Logger }

// Write queues one line without blocking.
func (q queueWriter) Write(line []byte) (int, error) {
	if q.logger.closed.Load() {
		return len(line), nil
	}
	select {
	case q.logger.lines <- append([]byte(nil), line...):
	default:
		q.logger.dropped.Inc()
	}
	return len(line), nil
}

func (l *Logger) run() {
	defer close(l.done)
	for line := range l.lines {
		if line == nil {
			return
		}
		if _, err := l.out.Write(line); err != nil {
			l.dropped.Inc()
			continue
		}
		l.written.Inc()
	}
}

// Close writes the queued lines unless the output is too slow; later lines are dropped.
func (l *Logger) Close() {
	if l.closed.Swap(true) {
		return
	}
	select {
	case l.lines <- nil:
	case <-time.After(closeTimeout):
		return
	}
	select {
	case <-l.done:
	case <-time.After(closeTimeout):
	}
}

// Limiter limits the rate of one kind of log line with a token bucket.
type Limiter struct {
	rate  float64 // lines per second
	burst float64 // lines

	mu         sync.Mutex
	tokens     float64
	lastRefill time.Time
	skipped    int
}

// NewLimiter returns a limiter that allows burst lines at once and rate lines per second after that.
func NewLimiter(rate, burst float64) *Limiter {
	return &Limiter{rate: rate, burst: burst, tokens: burst}
}

// Allow reports whether a line may be written now; if so, skipped is the number of lines that were not allowed since
// the previous allowed one.
func (l *Limiter) Allow(now time.Time) (skipped int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.lastRefill.IsZero() {
		l.tokens = min(l.burst, l.tokens+l.rate*now.Sub(l.lastRefill).Seconds())
	}
	l.lastRefill = now
	if l.tokens < 1 {
		l.skipped++
		return 0, false
	}
	l.tokens--
	skipped, l.skipped = l.skipped, 0
	return skipped, true
}
