package divider

import (
	"slices"
	"strconv"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/ranker"
)

const (
	// The senders of a server are the hosts that have a share of its rate. Each may send one request at any time, so that
	// there are at most sendersPerRate times the rate plus minSenders, about two seconds of the rate if all send at once.
	sendersPerRate = 2
	minSenders     = 3
	// burstTime is the time of its share that a sender may use up at once.
	burstTime = time.Second
	// trialRate is the rate, in requests per second of all senders together, at which a server that states a lower one is
	// asked whether it still does.
	trialRate = 0.3
	// rotationPeriod is how long a set of senders is kept. Hosts that are no senders of a server learn in their turn that
	// it states another rate.
	rotationPeriod = 30 * time.Second
	// spareShare is the share of a serving host that a host that no longer, or not yet, serves callers may use: it still
	// gets requests of callers with old addresses.
	spareShare = 0.25
	// assumedHosts is the number of hosts assumed to share a server while the other hosts are unknown.
	assumedHosts = 3
)

// Divider gives one host its share of servers' rates; it is immutable.
type Divider struct {
	self    string
	serving bool
	hosts   []broker.Member
}

var _ broker.RateDivider = (*Divider)(nil)

// New returns the divider of the host self among the hosts that serve callers.
func New(self string, serving []string) *Divider {
	d := &Divider{self: self, serving: len(serving) == 0 || slices.Contains(serving, self)}
	for _, name := range serving {
		d.hosts = append(d.hosts, broker.Member{ID: broker.NodeID(name)})
	}
	return d
}

// Share returns this host's share of the rate that a server states, in requests per second, and when to ask again. All
// shares together allow the rate, and no more than about two seconds of it at once.
func (d *Divider) Share(server broker.ServerName, rate float64, now time.Time) (broker.RateShare, time.Time) {
	rotation := now.Truncate(rotationPeriod)
	until := rotation.Add(rotationPeriod)
	hosts := len(d.hosts)
	if hosts == 0 {
		hosts = assumedHosts
	}
	senders := hosts
	if limit := sendersPerRate*rate + minSenders; float64(hosts) > limit {
		senders = int(limit)
	}
	share := max(rate, trialRate) / float64(senders)
	switch {
	case !d.serving:
		share *= spareShare
	case senders < hosts && !d.isSender(server, senders, rotation):
		return broker.RateShare{}, until
	}
	return broker.RateShare{PerSecond: share, Burst: max(1, share*burstTime.Seconds())}, until
}

// isSender reports whether this host is one of the senders of a server. The set changes with each rotation.
func (d *Divider) isSender(server broker.ServerName, senders int, rotation time.Time) bool {
	key := string(server) + "/" + strconv.FormatInt(rotation.Unix(), 10)
	return slices.Contains(ranker.Rank(d.hosts, key, "")[:senders], broker.NodeID(d.self))
}
