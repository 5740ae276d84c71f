package forwarder

import (
	"fmt"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/scatterer"
)

// meters are the metrics of requests.
type meters struct {
	set                                                *metrics.Set
	sent, hedges, hedgesDenied, retries, retriesDenied *metrics.Counter
	parts, missing, callersGone, resolve, withheld     *metrics.Counter
	connectionsRefused                                 *metrics.Counter
	firstAttempts, furtherAttempts                     crossZoneBytes
}

// crossZoneBytes count the bytes of exchanges with servers in other availability zones.
type crossZoneBytes struct{ sent, received *metrics.Counter }

func newCrossZoneBytes(set *metrics.Set, cause string) crossZoneBytes {
	counter := func(direction string) *metrics.Counter {
		return set.GetOrCreateCounter(fmt.Sprintf("yuccarock_cross_zone_bytes_total{cause=%q,direction=%q}", cause, direction))
	}
	return crossZoneBytes{sent: counter("sent"), received: counter("received")}
}

func newMeters(set *metrics.Set) *meters {
	counter := func(name string) *metrics.Counter { return set.GetOrCreateCounter("yuccarock_" + name + "_total") }
	return &meters{
		set: set, sent: counter("attempts"), hedges: counter("hedges"), hedgesDenied: counter("hedges_denied"),
		retries: counter("retries"), retriesDenied: counter("retries_denied"), parts: counter("parts"),
		missing: counter("parts_missing"), callersGone: counter("callers_gone"), resolve: counter("resolves"),
		withheld: counter("attempts_withheld"), connectionsRefused: counter("connections_refused"),
		firstAttempts: newCrossZoneBytes(set, "firstAttempt"), furtherAttempts: newCrossZoneBytes(set, "furtherAttempt"),
	}
}

// addAttempts adds the attempt counts of one request.
func (m *meters) addAttempts(stats *scatterer.Stats) {
	m.sent.Add(stats.Sent)
	m.hedges.Add(stats.Hedges)
	m.hedgesDenied.Add(stats.HedgesDenied)
	m.retries.Add(stats.Retries)
	m.retriesDenied.Add(stats.RetriesDenied)
	m.withheld.Add(stats.Withheld)
}

// crossZone adds the bytes of one exchange with a server in another availability zone.
func (m *meters) crossZone(attempt uint32, sent, received int) {
	bytes := &m.firstAttempts
	if attempt > 1 {
		bytes = &m.furtherAttempts
	}
	bytes.sent.Add(sent)
	bytes.received.Add(received)
}

// serverFailed counts an answer of a server that ran a request, or may have run it, and did not succeed.
func (m *meters) serverFailed(status int) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`yuccarock_server_failures_total{status="%d"}`, status)).Inc()
}

// requestEnded records the result and duration of one request. Route is nil for a request that was refused.
func (m *meters) requestEnded(route *broker.Route, result string, elapsed time.Duration) {
	labels := `route=""`
	if route != nil {
		labels = routeLabels(route)
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("yuccarock_requests_total{%s,result=%q}", labels, result)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf("yuccarock_request_seconds{%s}", labels)).Update(elapsed.Seconds())
}

// routeLabels returns the labels of a route's metrics. Routes of different hosts may have equal names.
func routeLabels(route *broker.Route) string {
	return "route=" + labelValue(route.Name) + ",host=" + labelValue(route.Host) + ",prefix=" + labelValue(route.Prefix)
}

// labelEscaper escapes what the text format of metrics escapes in the values of labels, and nothing else.
var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// labelValue returns a name of the configuration as the quoted value of a label.
func labelValue(name string) string { return `"` + labelEscaper.Replace(shortName(name)) + `"` }

// maxNameBytes is the maximum size in bytes of a name of the configuration in metrics and logs.
const maxNameBytes = 128

// shortName returns a name, or for one above maxNameBytes its beginning and a hash that tells it from others.
func shortName(name string) string {
	if len(name) <= maxNameBytes {
		return name
	}
	hash := fmt.Sprintf("~%016x", xxhash.Sum64String(name))
	return strings.ToValidUTF8(name[:maxNameBytes-len(hash)], "") + hash
}
