package forwarder

import (
	"net/netip"
	"time"
)

// Settings are the settings of one host.
type Settings struct {
	Node  string
	Zone  string
	Zones []string // all availability zones
	// Entry is the TCP address for callers, Readiness the one for questions whether this host takes requests, Directory
	// the one for questions which hosts to use, Metrics the one of /metrics and Peer the one for other hosts; an invalid address is not served.
	Entry     netip.AddrPort
	Readiness netip.AddrPort
	Directory netip.AddrPort
	Metrics   netip.AddrPort
	Peer      netip.AddrPort
	// FirstStart is whether the whole system starts for the first time, so that the store holds nothing of it.
	FirstStart bool
	// Seeds are addresses of Peer of other hosts, which may be down.
	Seeds []netip.AddrPort
	// Capacity is the host's share of a processor core.
	Capacity float64
	// StoreHistory is how long the store keeps its history.
	StoreHistory time.Duration
	// StopDeadline is the longest time of a planned stop.
	StopDeadline time.Duration
	// RetryShare of the requests for a service, and RetrySlack within 10 s, is what all hosts together may send
	// beyond the first attempt of each request.
	RetryShare float64
	RetrySlack int
}
