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
	// queueLines is how many lines may wait for a slow output.
	queueLines = 1024
	// closeTimeout bounds the wait for the output at the end of the process.
	closeTimeout = 500 * time.Millisecond
)

// Logger is an asynchronous writer of log lines.
type Logger struct {
	*slog.Logger

	out     io.Writer
	lines   chan []byte
	done    chan struct{}
	closed  atomic.Bool
	dropped *metrics.Counter
	written *metrics.Counter
}

// New returns a logger of JSON lines at a level; lines that the output does not take in time are dropped and counted.
func New(out io.Writer, level slog.Leveler, set *metrics.Set) *Logger {
	l := &Logger{
		out: out, lines: make(chan []byte, queueLines), done: make(chan struct{}),
		dropped: set.GetOrCreateCounter("yuccarock_log_lines_dropped_total"),
		written: set.GetOrCreateCounter("yuccarock_log_lines_written_total"),
	}
	l.Logger = slog.New(slog.NewJSONHandler(queue{l}, &slog.HandlerOptions{Level: level}))
	go l.run()
	return l
}

// queue is the writer of the handler; it takes a copy, because the handler uses its buffer again.
type queue struct{ logger *Logger }

// Write queues one line without blocking.
func (q queue) Write(line []byte) (int, error) {
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

// Close writes the lines that wait; later lines are dropped.
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

// Limiter bounds the lines of one sort: a burst at once and a rate after that.
type Limiter struct {
	rate  float64 // lines a second
	burst float64

	mu      sync.Mutex
	tokens  float64
	at      time.Time
	skipped int
}

// NewLimiter returns a full limiter.
func NewLimiter(rate, burst float64) *Limiter {
	return &Limiter{rate: rate, burst: burst, tokens: burst}
}

// Allow takes one line and returns whether it may be written, with the lines that were left out before it.
func (l *Limiter) Allow(now time.Time) (skipped int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.at.IsZero() {
		l.tokens = min(l.burst, l.tokens+l.rate*now.Sub(l.at).Seconds())
	}
	l.at = now
	if l.tokens < 1 {
		l.skipped++
		return 0, false
	}
	l.tokens--
	skipped, l.skipped = l.skipped, 0
	return skipped, true
}
