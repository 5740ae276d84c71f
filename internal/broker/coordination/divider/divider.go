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
	// there are at most sendersPerRate times the rate plus minSenders, about a second of the rate if all send at once.
	sendersPerRate = 1
	minSenders     = 3
	// burstTime is the time of its share that a sender may use up at once.
	burstTime = time.Second
	// trialRate is the rate, in requests per second of all senders together, at which a server that states a lower one is
	// asked whether it still does.
	trialRate = 0.3
	// rotationPeriod is how long a set of senders is kept. Hosts that are no senders of a server learn in their turn that
	// it states another rate.
	rotationPeriod = 30 * time.Second
	// standbyRate is the part of the rate that all hosts together may use beyond it that serve no callers, of which
	// standbySenders are senders: they still get requests of callers with old addresses.
	standbyRate    = 0.25
	standbySenders = 2
	// assumedHosts is the number of hosts assumed to share a server while the other hosts are unknown.
	assumedHosts = 3
)

// Divider gives one host its share of servers' rates; it is immutable.
type Divider struct {
	self    string
	serving bool
	hosts   []broker.Member // those that serve callers
	standby []broker.Member // the others
}

var _ broker.RateDivider = (*Divider)(nil)

// New returns the divider of the host self among the hosts that serve callers, and the others in standby.
func New(self string, serving, standby []string) *Divider {
	d := &Divider{self: self, serving: len(serving) == 0 || slices.Contains(serving, self)}
	for _, name := range serving {
		d.hosts = append(d.hosts, broker.Member{ID: broker.NodeID(name)})
	}
	for _, name := range standby {
		d.standby = append(d.standby, broker.Member{ID: broker.NodeID(name)})
	}
	return d
}

// Share returns this host's share of the rate that a server states, in requests per second, and when to ask again. All
// shares together allow the rate, and no more than about a second of it at once.
func (d *Divider) Share(server broker.ServerName, rate float64, now time.Time) (broker.RateShare, time.Time) {
	rotation := now.Truncate(rotationPeriod)
	until := rotation.Add(rotationPeriod)
	rate = max(rate, trialRate)
	hosts, senders := d.hosts, max(len(d.hosts), 1)
	switch {
	case !d.serving:
		rate *= standbyRate
		hosts, senders = d.standby, standbySenders
	case len(hosts) == 0:
		senders = assumedHosts
	case float64(senders) > sendersPerRate*rate+minSenders:
		senders = int(sendersPerRate*rate + minSenders)
	}
	if senders < len(hosts) && !d.isSender(hosts, server, senders, rotation) {
		return broker.RateShare{}, until
	}
	share := rate / float64(senders)
	return broker.RateShare{PerSecond: share, Burst: max(1, share*burstTime.Seconds())}, until
}

// isSender reports whether this host is one of the senders of a server among hosts. The set changes with each rotation.
func (d *Divider) isSender(hosts []broker.Member, server broker.ServerName, senders int, rotation time.Time) bool {
	key := string(server) + "/" + strconv.FormatInt(rotation.Unix(), 10)
	return slices.Contains(ranker.Rank(hosts, key, "")[:senders], broker.NodeID(d.self))
}
