package forwarder

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/state/tracker"
	"github.com/yuccarock/yuccarock/internal/logger"
)

// Log lines about notices of servers are limited to noticeLogRate per second with a burst of noticeLogBurst, because a
// faulty server may change its notice with each answer.
const (
	noticeLogRate  = 10
	noticeLogBurst = 50
)

// maxLimitRetry is the longest time that callers are asked to wait for servers that state a limit.
const maxLimitRetry = 5 * time.Second

// spreadRetry returns when a caller should retry that was rejected because servers take no request for the time wait.
// Random, from 0 to 1, spreads the callers over the time in which as many requests can be taken again.
func spreadRetry(wait time.Duration, random float64) time.Duration {
	wait = min(max(wait, noServerRetry), maxLimitRetry/2)
	return wait + time.Duration(random*float64(wait))
}

// notices counts and logs what backend servers state about themselves.
type notices struct {
	logger     *slog.Logger
	logLimiter *logger.Limiter
	limits     *metrics.Counter
	rejected   *metrics.Counter
	leaving    *metrics.Counter
	pauses     *metrics.Counter
	malformed  *metrics.Counter
}

// newNotices returns notices that have counted nothing; current counts the servers by what they state now.
func newNotices(set *metrics.Set, log *slog.Logger, current func(now time.Time) tracker.NoticeCounts) *notices {
	gauge := func(kind string, count func(tracker.NoticeCounts) int) {
		set.NewGauge(fmt.Sprintf("yuccarock_server_notices{kind=%q}", kind), func() float64 {
			return float64(count(current(time.Now())))
		})
	}
	gauge("limit", func(counts tracker.NoticeCounts) int { return counts.Limited })
	gauge("pause", func(counts tracker.NoticeCounts) int { return counts.Paused })
	gauge("leaving", func(counts tracker.NoticeCounts) int { return counts.Leaving })
	return &notices{
		logger: log, logLimiter: logger.NewLimiter(noticeLogRate, noticeLogBurst),
		limits:    set.GetOrCreateCounter("yuccarock_server_limit_changes_total"),
		rejected:  set.GetOrCreateCounter("yuccarock_requests_rejected_by_limit_total"),
		leaving:   set.GetOrCreateCounter("yuccarock_servers_leaving_total"),
		pauses:    set.GetOrCreateCounter("yuccarock_server_pauses_total"),
		malformed: set.GetOrCreateCounter("yuccarock_server_notices_malformed_total"),
	}
}

// report records what a server states in the answer to a request that was sent at sentAt.
func (n *notices) report(to receiver, notice broker.ServerNotice, sentAt time.Time) {
	now, wasLeaving := time.Now(), to.server.Leaving()
	previous, recorded := to.server.ReportNotice(notice, sentAt, now)
	if notice.Leaving && !wasLeaving {
		n.leaving.Inc()
		n.log(slog.LevelInfo, "server states that it is leaving", to)
	}
	if notice.RetryAfter > 0 {
		n.pauses.Inc()
		n.log(slog.LevelInfo, "server wants no requests for a time", to, "forMs", notice.RetryAfter.Milliseconds())
	}
	if recorded && (previous.Limited != notice.Limited || previous.Limit != notice.Limit) {
		n.limits.Inc()
		n.log(slog.LevelInfo, "server changed its limit", to, "limited", notice.Limited, "limit", notice.Limit,
			"wasLimited", previous.Limited, "previous", previous.Limit)
	}
}

// log writes a line about a server, unless too many have been written.
func (n *notices) log(level slog.Level, message string, to receiver, attributes ...any) {
	if skipped, ok := n.logLimiter.Allow(time.Now()); ok {
		n.logger.Log(context.Background(), level, message, append([]any{"server", to.server.Name, "service", to.instance.Service,
			"skippedLines", skipped}, attributes...)...)
	}
}

// reportMalformed records that a notice could not be read.
func (n *notices) reportMalformed(to receiver, err error) {
	n.malformed.Inc()
	n.log(slog.LevelWarn, "ignored a malformed notice of a server", to, "error", err)
}
