package forwarder

import (
	"net/netip"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker/state/accountant"
)

// Settings are the settings of one host. A host without Entry is a resolver: it takes no requests and only tells callers
// which hosts to use.
type Settings struct {
	Node  string
	Zone  string
	Zones []string // all availability zones
	// Entry is the TCP address for callers, Readiness the one for readiness checks, Directory the one where callers ask
	// which hosts to use, Metrics the one of /metrics and Peer the one for other hosts. An invalid address is not served.
	Entry     netip.AddrPort
	Readiness netip.AddrPort
	Directory netip.AddrPort
	Metrics   netip.AddrPort
	Peer      netip.AddrPort
	// FirstStart is whether the whole system starts for the first time, so that the store holds nothing yet.
	FirstStart bool
	// Seeds are Peer addresses of other hosts, which may be down.
	Seeds []netip.AddrPort
	// Capacity is the processor capacity of the host, in cores.
	Capacity float64
	// Heartbeat is how often each backend server writes its entry, zero if unknown.
	Heartbeat time.Duration
	// Memory is the memory that this process may use, in bytes; zero means no limit.
	Memory int64
	// Descriptors is the number of descriptors that this process may have; zero means no limit.
	Descriptors int
	// MaxInbound is the number of connections of callers and other hosts, and RequestMemory the memory of all requests in
	// bytes. Zero derives them from Descriptors and Memory.
	MaxInbound    int
	RequestMemory int64
	// StoreHistory is how long the store keeps its history.
	StoreHistory time.Duration
	// StopDeadline is the maximum duration of a planned stop.
	StopDeadline time.Duration
	// RetryShare and RetrySlack limit what all hosts together send beyond the first attempt of each request: RetryShare
	// times the requests for a service, plus RetrySlack attempts, within RetryWindow.
	RetryShare  float64
	RetrySlack  int
	RetryWindow time.Duration
}

// Shares returns the parts of this process's memory and descriptors.
func (s *Settings) Shares() accountant.Shares {
	shares := accountant.Divide(s.Memory, s.Descriptors)
	if s.MaxInbound > 0 {
		shares.Inbound = s.MaxInbound
	}
	if s.RequestMemory > 0 {
		shares.Requests = s.RequestMemory
	}
	return shares
}

// resolvesOnly returns whether the host is a resolver.
func (s *Settings) resolvesOnly() bool { return !s.Entry.IsValid() }
