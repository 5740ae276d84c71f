package forwarder

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/quarantiner"
	"github.com/yuccarock/yuccarock/internal/broker/transport/limiter"
	"github.com/yuccarock/yuccarock/internal/logger"
	"github.com/yuccarock/yuccarock/internal/waiter"
)

const (
	// crashesPath is the HTTP path for crash reports of other hosts.
	crashesPath = "/crashes"
	// reportInterval limits the messages between hosts while many connections break at once. One message carries up to
	// maxReports reports; further ones are dropped, and the other hosts then need more crashes of their own.
	reportInterval = 50 * time.Millisecond
	maxReports     = 256
	maxReportBytes = 64 << 10
	reportTimeout  = 500 * time.Millisecond
	// Log lines about suspects are limited to suspectLogRate per second with a burst of suspectLogBurst, because many
	// connections can break at once.
	suspectLogRate  = 10
	suspectLogBurst = 50
	// quarantineRetry is how long the caller of a quarantined request is asked to wait before a retry.
	quarantineRetry = 10 * time.Second
)

// quarantine refuses requests that crash every server that runs them. Crashes are counted by the content of the request,
// where an answer of any service ends the count, and by content and service, where only an answer of that service does.
type quarantine struct {
	quarantiner *quarantiner.Quarantiner
	reports     chan broker.CrashReport
	logger      *slog.Logger
	logLimiter  *logger.Limiter
	crashes     *metrics.Counter
	ignored     *metrics.Counter
	cleared     *metrics.Counter
	dropped     *metrics.Counter
}

func newQuarantine(set *metrics.Set, log *slog.Logger) *quarantine {
	q := &quarantine{
		quarantiner: quarantiner.New(quarantiner.DirectOptions()), reports: make(chan broker.CrashReport, maxReports),
		logger: log, logLimiter: logger.NewLimiter(suspectLogRate, suspectLogBurst),
		crashes: set.GetOrCreateCounter("yuccarock_crash_reports_total"),
		ignored: set.GetOrCreateCounter("yuccarock_crash_reports_ignored_total"),
		cleared: set.GetOrCreateCounter("yuccarock_crash_suspects_cleared_total"),
		dropped: set.GetOrCreateCounter("yuccarock_crash_reports_dropped_total"),
	}
	set.NewGauge("yuccarock_crash_suspects", func() float64 {
		return float64(len(q.quarantiner.List(time.Now()).Suspects))
	})
	set.NewGauge("yuccarock_quarantined_requests", func() float64 {
		return float64(len(q.quarantiner.List(time.Now()).Quarantined))
	})
	return q
}

// contentFingerprint identifies the content of a request.
func contentFingerprint(request *broker.OpaqueRequest) broker.Fingerprint {
	return quarantiner.Fingerprint(request.Method, request.Host, request.Target, string(request.Body))
}

// serviceFingerprint identifies the content of a request at one service.
func serviceFingerprint(content broker.Fingerprint, service string) broker.Fingerprint {
	return content ^ quarantiner.Fingerprint(service)
}

// isQuarantined reports whether a request is quarantined at any service of its route.
func (q *quarantine) isQuarantined(request *broker.OpaqueRequest, route *broker.Route) bool {
	if q.quarantiner.Empty() {
		return false
	}
	now, content := time.Now(), contentFingerprint(request)
	quarantined := func(service string) bool {
		return q.quarantiner.State(serviceFingerprint(content, service), now) == quarantiner.Quarantined
	}
	return q.quarantiner.State(content, now) == quarantiner.Quarantined || slices.ContainsFunc(route.Shards, quarantined) ||
		slices.ContainsFunc(route.Targets, func(target broker.Target) bool { return quarantined(target.Service) })
}

// recordCrash reports that the connection to a server broke while it worked on a request; answered is whether another
// server has answered the request. The name of the server changes with its registration, which may be late or missing
// after a restart, so that an outage in between also distinguishes two processes.
func (q *quarantine) recordCrash(
	request *broker.OpaqueRequest, sub *broker.SubRequest, outages int, answered bool,
) {
	content := contentFingerprint(request)
	report := broker.CrashReport{Server: sub.Server, BootID: strconv.Itoa(outages)}
	if !answered {
		report.Fingerprint = content
		q.addReport(report, request.ID)
	}
	report.Fingerprint = serviceFingerprint(content, string(sub.Shard))
	q.addReport(report, request.ID)
}

// recordSurvival reports that a server survived a suspect request.
func (q *quarantine) recordSurvival(request *broker.OpaqueRequest, sub *broker.SubRequest) {
	if q.quarantiner.Empty() {
		return
	}
	now, content := time.Now(), contentFingerprint(request)
	for _, fingerprint := range []broker.Fingerprint{content, serviceFingerprint(content, string(sub.Shard))} {
		if q.quarantiner.State(fingerprint, now) == quarantiner.Suspect {
			q.addReport(broker.CrashReport{Fingerprint: fingerprint, Server: sub.Server, Cleared: true}, request.ID)
		}
	}
}

// addReport applies a report of this host and queues it for the others if it changed the count: they would ignore it too.
func (q *quarantine) addReport(report broker.CrashReport, request string) {
	if !q.applyReport(report, request) {
		return
	}
	select {
	case q.reports <- report:
	default:
		q.dropped.Inc()
	}
}

// applyReport applies a report and reports whether it changed the count; request is the request ID, empty for a report of
// another host.
func (q *quarantine) applyReport(report broker.CrashReport, request string) bool {
	now := time.Now()
	before := q.quarantiner.Crashes(report.Fingerprint, now)
	state := q.quarantiner.Report(report, now)
	after := q.quarantiner.Crashes(report.Fingerprint, now)
	message, level := "request is a suspect, its server was lost", slog.LevelInfo
	switch {
	case report.Cleared:
		if before == 0 || after > 0 {
			return false
		}
		q.cleared.Inc()
		message = "request is no suspect, a server answered it"
	case after == before:
		q.crashes.Inc()
		q.ignored.Inc()
		message = "ignored a crash that was counted or is too close to another"
	case state == quarantiner.Quarantined:
		q.crashes.Inc()
		message, level = "request quarantined, it crashes each server that runs it", slog.LevelWarn
	default:
		q.crashes.Inc()
	}
	if skipped, ok := q.logLimiter.Allow(now); ok || level == slog.LevelWarn {
		q.logger.Log(context.Background(), level, message, "fingerprint", uint64(report.Fingerprint),
			"server", report.Server, "process", report.BootID, "crashes", after, "id", request, "skippedLines", skipped)
	}
	return before != after
}

// nextBatch waits for the next reports to send; it returns none if ctx ends.
func (q *quarantine) nextBatch(ctx context.Context) []broker.CrashReport {
	var reports []broker.CrashReport
	select {
	case report := <-q.reports:
		reports = append(reports, report)
	case <-ctx.Done():
		return nil
	}
	waiter.Wait(ctx, reportInterval)
	for len(reports) < maxReports {
		select {
		case report := <-q.reports:
			reports = append(reports, report)
		default:
			return reports
		}
	}
	return reports
}

// serveReports receives the reports of another host.
func (q *quarantine) serveReports(w http.ResponseWriter, r *http.Request) {
	var reports []broker.CrashReport
	body, err := limiter.ReadBody(r, maxReportBytes, time.Now().Add(reportTimeout))
	if err != nil {
		limiter.Abandon(w, r)
	} else {
		err = json.Unmarshal(body, &reports)
	}
	if err != nil {
		http.Error(w, "could not read the crash reports", http.StatusBadRequest)
		return
	}
	for _, report := range reports {
		q.applyReport(report, "")
	}
	w.WriteHeader(http.StatusNoContent)
}

// forwardCrashReports sends crash reports to the other serving hosts.
func (f *Forwarder) forwardCrashReports(ctx context.Context) {
	for ctx.Err() == nil {
		reports := f.quarantine.nextBatch(ctx)
		if len(reports) == 0 {
			continue
		}
		for _, host := range f.serving() {
			if host.Name == f.settings.Node || !host.Peer.IsValid() {
				continue
			}
			f.tasks.Go(func() { f.sendCrashReports(ctx, host, reports) })
		}
	}
}

func (f *Forwarder) sendCrashReports(ctx context.Context, host broker.HostRecord, reports []broker.CrashReport) {
	callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if err := f.relays.Post(callCtx, host.Peer, crashesPath, reports); err != nil {
		f.logger.Warn("could not pass crash reports on", "host", host.Name, "reports", len(reports), "error", err)
	}
}
