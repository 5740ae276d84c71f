package forwarder

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
)

// maxEntries is the most addresses of one resolve answer.
const maxEntries = 64

// Resolve returns the addresses that a caller in a zone should use and for how long.
type Resolve func(zone string) (entries []netip.AddrPort, timeToLive time.Duration)

// Resolve returns the addresses of the hosts that take requests, in random order; where none is known to, it names this
// host, which answers with the reason.
func (f *Forwarder) Resolve(string) ([]netip.AddrPort, time.Duration) {
	f.meters.resolve.Inc()
	hosts := f.prober.Usable()
	if f.Ready() == nil {
		hosts = append(hosts, broker.HostRecord{Name: f.settings.Node, Entry: f.settings.Entry, Zone: f.settings.Zone})
	}
	rand.Shuffle(len(hosts), func(i, k int) { hosts[i], hosts[k] = hosts[k], hosts[i] })
	entries := make([]netip.AddrPort, 0, len(hosts))
	for i := range hosts[:min(len(hosts), maxEntries)] {
		entries = append(entries, hosts[i].Entry)
	}
	if len(entries) == 0 {
		entries = append(entries, f.settings.Entry)
	}
	return entries, timeToLive
}
