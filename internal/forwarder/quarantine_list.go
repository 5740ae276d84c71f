package forwarder

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/quarantiner"
)

const (
	// HeaderQuarantine is the header of readiness answers that identifies the set of requests quarantined by this host.
	HeaderQuarantine = "Yuccarock-Quarantine"
	// quarantinePath is the HTTP path at which other hosts read the set.
	quarantinePath = "/quarantine"
)

// digest identifies the set of quarantined requests; it is empty for the empty set.
func (q *quarantine) digest() string {
	if q.quarantiner.Empty() {
		return ""
	}
	list := q.quarantiner.Quarantined(time.Now())
	if len(list) == 0 {
		return ""
	}
	parts := make([]string, len(list))
	for i, request := range list {
		parts[i] = strconv.FormatUint(uint64(request.Fingerprint), 16)
	}
	return strconv.FormatUint(uint64(quarantiner.Fingerprint(parts...)), 16)
}

// serveList answers with the quarantined requests.
func (q *quarantine) serveList(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(q.quarantiner.Quarantined(time.Now())) // fails only if the host has disconnected
}

// restore adds requests that another host, or an earlier process, has quarantined.
func (q *quarantine) restore(list []broker.QuarantinedRequest, from string) {
	list = list[:min(len(list), quarantiner.DirectOptions().MaxEntries)]
	if added := q.quarantiner.Restore(list, time.Now()); added > 0 {
		q.logger.Warn("learned of quarantined requests", "from", from, "requests", added)
	}
}

// syncQuarantine reads the quarantined requests of one host whose set differs from that of this host. Crash reports are
// sent once, so that a host that has just started, or was cut off, has missed some.
func (f *Forwarder) syncQuarantine(ctx context.Context) {
	if f.settings.resolvesOnly() {
		return
	}
	hosts := f.prober.WithQuarantineOtherThan(f.quarantine.digest())
	if len(hosts) == 0 {
		return
	}
	host := hosts[rand.IntN(len(hosts))]
	if !host.Peer.IsValid() {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var list []broker.QuarantinedRequest
	if err := f.relays.Get(callCtx, host.Peer, quarantinePath, &list); err != nil {
		f.logger.Warn("could not read the quarantined requests of another host", "host", host.Name, "error", err)
		return
	}
	f.quarantine.restore(list, host.Name)
}
