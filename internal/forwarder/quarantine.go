package forwarder

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/quarantiner"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/relayer"
	"github.com/yuccarock/yuccarock/internal/waiter"
)

const (
	// crashesPath is where a host takes the crash reports of others.
	crashesPath = "/crashes"
	// reportInterval bounds the messages between hosts while many connections break at once; maxReports of them go into
	// one message, and those beyond are dropped: the other hosts then need more crashes of their own.
	reportInterval = 50 * time.Millisecond
	maxReports     = 256
	maxReportBytes = 64 << 10
	reportTimeout  = 500 * time.Millisecond
	// quarantineRetry asks the caller of a quarantined request to come back.
	quarantineRetry = 10 * time.Second
)

// quarantine keeps requests away from servers that crash each server that runs them. A request is told by its content and
// by the service that it crashed, so that answers of other shards do not clear it.
type quarantine struct {
	set     *quarantiner.Quarantiner
	reports chan broker.CrashReport
	logger  *slog.Logger
	crashes *metrics.Counter
	dropped *metrics.Counter
}

func newQuarantine(set *metrics.Set, logger *slog.Logger) *quarantine {
	return &quarantine{
		set: quarantiner.New(quarantiner.DirectOptions()), reports: make(chan broker.CrashReport, maxReports),
		logger: logger, crashes: set.GetOrCreateCounter("yuccarock_crash_reports_total"),
		dropped: set.GetOrCreateCounter("yuccarock_crash_reports_dropped_total"),
	}
}

// contentOf identifies the content of a request.
func contentOf(request *broker.OpaqueRequest) broker.Fingerprint {
	return quarantiner.Fingerprint(request.Method, request.Host, request.Target, string(request.Body))
}

// atService identifies the content of a request at one service.
func atService(content broker.Fingerprint, service string) broker.Fingerprint {
	return content ^ quarantiner.Fingerprint(service)
}

// refuses returns whether a request has crashed the servers of a service of its route.
func (q *quarantine) refuses(request *broker.OpaqueRequest, route *broker.Route) bool {
	if q.set.Empty() {
		return false
	}
	now, content := time.Now(), contentOf(request)
	quarantined := func(service string) bool {
		return q.set.State(atService(content, service), now) == quarantiner.Quarantined
	}
	return slices.ContainsFunc(route.Shards, quarantined) ||
		slices.ContainsFunc(route.Targets, func(target broker.Target) bool { return quarantined(target.Service) })
}

// crashed takes that the connection to a server broke while it worked on a request.
func (q *quarantine) crashed(request *broker.OpaqueRequest, sub *broker.SubRequest) {
	q.take(broker.CrashReport{
		Fingerprint: atService(contentOf(request), string(sub.Shard)), Server: sub.Server, // the name tells the process
	}, request.ID)
}

// answered takes that a server survived a request.
func (q *quarantine) answered(request *broker.OpaqueRequest, sub *broker.SubRequest) {
	if q.set.Empty() {
		return
	}
	fingerprint := atService(contentOf(request), string(sub.Shard))
	if q.set.State(fingerprint, time.Now()) == quarantiner.Suspect {
		q.take(broker.CrashReport{Fingerprint: fingerprint, Server: sub.Server, Cleared: true}, request.ID)
	}
}

// take applies a report of this host and passes it on to the others.
func (q *quarantine) take(report broker.CrashReport, request string) {
	q.apply(report, request)
	select {
	case q.reports <- report:
	default:
		q.dropped.Inc()
	}
}

// apply takes a report; request is empty where another host made it.
func (q *quarantine) apply(report broker.CrashReport, request string) {
	if !report.Cleared {
		q.crashes.Inc()
	}
	now := time.Now()
	before := q.set.State(report.Fingerprint, now)
	if after := q.set.Report(report, now); after == quarantiner.Quarantined && before != after {
		q.logger.Warn("request quarantined, it crashes each server that runs it", "fingerprint", uint64(report.Fingerprint),
			"server", report.Server, "id", request)
	}
}

// batch waits for the next reports to pass on; none where ctx has ended.
func (q *quarantine) batch(ctx context.Context) []broker.CrashReport {
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

// serve takes the reports of another host.
func (q *quarantine) serve(w http.ResponseWriter, r *http.Request) {
	var reports []broker.CrashReport
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxReportBytes)).Decode(&reports); err != nil {
		http.Error(w, "could not read the crash reports", http.StatusBadRequest)
		return
	}
	for _, report := range reports {
		q.apply(report, "")
	}
	w.WriteHeader(http.StatusNoContent)
}

// spreadCrashes passes crash reports on to the hosts that serve callers.
func (f *Forwarder) spreadCrashes(ctx context.Context) {
	for ctx.Err() == nil {
		reports := f.quarantine.batch(ctx)
		if len(reports) == 0 {
			continue
		}
		for _, host := range f.serving() {
			if host.Name == f.settings.Node || !host.Peer.IsValid() {
				continue
			}
			f.tasks.Go(func() { f.tellCrashes(ctx, host, reports) })
		}
	}
}

func (f *Forwarder) tellCrashes(ctx context.Context, host broker.HostRecord, reports []broker.CrashReport) {
	callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if err := f.relays.Tell(callCtx, host.Peer, crashesPath, reports); err != nil {
		f.logger.Warn("could not pass crash reports on", "host", host.Name, "reports", len(reports), "error", err)
	}
}

// servePeers answers the other hosts.
func (f *Forwarder) servePeers() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+relayer.Path(""), f.feeds.handler())
	mux.HandleFunc("POST "+crashesPath, f.quarantine.serve)
	return mux
}
