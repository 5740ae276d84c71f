package broker

import (
	"net/netip"
	"strconv"
	"strings"
	"time"
)

// Route defines the destination and the limits of opaque requests for a host and path prefix.
type Route struct {
	Name   string `json:"name"`
	Host   string `json:"host"`
	Prefix string `json:"prefix"` // begins and ends with a slash
	// Idempotent allows another attempt after one that may have run.
	Idempotent bool `json:"idempotent"`
	// Timeout is the maximum time until the caller gets an answer.
	Timeout time.Duration `json:"timeout"`
	// LatencyTarget is the response time up to which an answer has its full value.
	LatencyTarget time.Duration `json:"latencyTarget"`
	// MaxAttempts is the maximum number of servers of one service that a request may be sent to; zero means one.
	MaxAttempts int `json:"maxAttempts"`
	Priority    int `json:"priority"` // zero is the highest priority
	// Targets are the services among which requests are distributed by weight; empty for a scatter.
	Targets []Target `json:"targets"`
	// Shards are the services that each receive every request of a scatter; empty otherwise.
	Shards []string `json:"shards"`
	// TopRecords is the maximum number of records in the answer to a scatter.
	TopRecords int `json:"topRecords"`
	// MinCoverage is the minimum share of shards (0 to 1) that must answer for a scatter to succeed.
	MinCoverage float64 `json:"minCoverage"`
}

// Scatter reports whether requests are sent to all shards of the route.
func (r *Route) Scatter() bool { return len(r.Shards) > 0 }

// Target is a service and its share of a route's requests.
type Target struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// ServicePolicy configures the backend servers of a service.
type ServicePolicy struct {
	HealthPath string `json:"healthPath"`
	// MaxConnections is the maximum number of connections that one server accepts from all hosts together.
	MaxConnections int `json:"maxConnections"`
	// WarmupTime is how long a server stays cold after it starts.
	WarmupTime time.Duration `json:"warmupTime"`
	// WarmupRate is the maximum number of requests per second that a cold server can handle from all hosts together;
	// zero means no limit.
	WarmupRate float64 `json:"warmupRate"`
}

// RequestLimits limit the size of callers' requests and the time to receive them.
type RequestLimits struct {
	HeaderBytes   int           `json:"headerBytes"`
	BodyBytes     int64         `json:"bodyBytes"`
	HeaderTimeout time.Duration `json:"headerTimeout"`
	IdleTimeout   time.Duration `json:"idleTimeout"`
}

// Catalog is one version of the configured routes and services.
type Catalog struct {
	Version  Revision                 `json:"version"`
	Routes   []Route                  `json:"routes"`
	Services map[string]ServicePolicy `json:"services"`
	Limits   RequestLimits            `json:"limits"`
}

// Registration is the record that a backend server writes to the platform's store about itself.
type Registration struct {
	ID      string         `json:"id"` // identifies the instance in requests to it
	Service string         `json:"service"`
	Address netip.AddrPort `json:"address"`
	Zone    string         `json:"zone"`
	Slots   int            `json:"slots"`
	// Draining reports that the server wants no new requests.
	Draining bool `json:"draining,omitempty"`
	// WarmupLeft is how long the server stays cold, counted from the time the record was written.
	WarmupLeft time.Duration `json:"warmupLeft,omitempty"`
	// StartedAt is the start time of the server's process on its own clock. It distinguishes restarts under one ID.
	StartedAt time.Time `json:"born,omitzero"`
}

// nameSeparator is between the ID and the start time in the name of a server, and is doubled in the ID.
const nameSeparator = "@"

// Name returns the name of the server's current process, which no other process has.
func (r *Registration) Name() ServerName {
	id := strings.ReplaceAll(r.ID, nameSeparator, nameSeparator+nameSeparator)
	if r.StartedAt.IsZero() {
		return ServerName(id)
	}
	return ServerName(id + nameSeparator + strconv.FormatInt(r.StartedAt.UnixMilli(), 36))
}

// Equal reports whether two registrations are equal apart from WarmupLeft.
func (r Registration) Equal(other Registration) bool {
	r.WarmupLeft, other.WarmupLeft = 0, 0
	startedAt, otherStartedAt := r.StartedAt, other.StartedAt
	r.StartedAt, other.StartedAt = time.Time{}, time.Time{}
	return r == other && startedAt.Equal(otherStartedAt)
}

// ServerList is what the hosts keep in the platform's store for hosts that start later: a copy of all registrations,
// because the servers' own entries may have expired, and the quarantined requests.
type ServerList struct {
	Servers     []Registration       `json:"servers"`
	Quarantined []QuarantinedRequest `json:"quarantined,omitempty"`
}

// HostRecord is the record that an entry host writes to the platform's store about itself, for the other hosts.
type HostRecord struct {
	Name      string         `json:"name"`
	Zone      string         `json:"zone"`
	Entry     netip.AddrPort `json:"entry"`     // address for callers
	Readiness netip.AddrPort `json:"readiness"` // address of the readiness check for other hosts
	// Peer is the address at which other hosts read the collections that this host follows.
	Peer netip.AddrPort `json:"peer,omitzero"`
	// Capacity is the host's share of a processor core.
	Capacity float64 `json:"capacity"`
	// Process identifies the host's process, as it answered the last probe. Hosts do not store it, because each start would
	// then be a change of the record that all other hosts read.
	Process string `json:"process,omitempty"`
}
