package broker

import (
	"net/netip"
	"time"
)

// Route says where opaque requests of a host and path prefix go and how they may be treated.
type Route struct {
	Name   string `json:"name"`
	Host   string `json:"host"`
	Prefix string `json:"prefix"` // begins and ends with a slash
	// Idempotent permits a second attempt after one that may have run.
	Idempotent bool `json:"idempotent"`
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration `json:"timeout"`
	// LatencyTarget is the time within which an answer is worth most.
	LatencyTarget time.Duration `json:"latencyTarget"`
	// MaxAttempts is the most servers of one service that a request may run on; zero means one.
	MaxAttempts int `json:"maxAttempts"`
	Priority    int `json:"priority"` // zero is the most urgent
	// Targets are the services that share the requests by weight; it is empty for a scatter.
	Targets []Target `json:"targets"`
	// Shards are the services that all receive a scattered request; it is empty otherwise.
	Shards []string `json:"shards"`
	// TopRecords is how many records the answer to a scatter has at most.
	TopRecords int `json:"topRecords"`
	// MinCoverage is the least share of shards with which a scatter succeeds, 0 to 1.
	MinCoverage float64 `json:"minCoverage"`
}

// Scatter returns whether requests go to all shards of the route.
func (r *Route) Scatter() bool { return len(r.Shards) > 0 }

// Target is a service with its share of a route's requests.
type Target struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// ServicePolicy is what the configuration says of the backend servers of a service.
type ServicePolicy struct {
	HealthPath string `json:"healthPath"`
	// MaxConnections is the most connections that one server accepts from all hosts together.
	MaxConnections int `json:"maxConnections"`
	// WarmupTime is how long a server stays cold after its start.
	WarmupTime time.Duration `json:"warmupTime"`
	// WarmupRate is the requests a second that a cold server bears from all hosts together; zero means no limit.
	WarmupRate float64 `json:"warmupRate"`
}

// RequestLimits bound what a caller may send and how long it may take.
type RequestLimits struct {
	HeaderBytes   int           `json:"headerBytes"`
	BodyBytes     int64         `json:"bodyBytes"`
	HeaderTimeout time.Duration `json:"headerTimeout"`
	IdleTimeout   time.Duration `json:"idleTimeout"`
}

// Catalog is one version of the routes and services that operators configured.
type Catalog struct {
	Version  Revision                 `json:"version"`
	Routes   []Route                  `json:"routes"`
	Services map[string]ServicePolicy `json:"services"`
	Limits   RequestLimits            `json:"limits"`
}

// Registration is what a backend server states of itself in the platform's store.
type Registration struct {
	ID      string         `json:"id"` // names the instance in requests to it
	Service string         `json:"service"`
	Address netip.AddrPort `json:"address"`
	Zone    string         `json:"zone"`
	Slots   int            `json:"slots"`
	// Draining is whether the server asks for no new work.
	Draining bool `json:"draining,omitempty"`
	// WarmupLeft is how long the server stays cold, counted from the moment of the statement.
	WarmupLeft time.Duration `json:"warmupLeft,omitempty"`
	// Born is the start of the server's process on its own clock; two starts under one ID differ in it.
	Born time.Time `json:"born,omitzero"`
}

// Name returns the name of the server's present process.
func (r *Registration) Name() ServerName {
	if r.Born.IsZero() {
		return ServerName(r.ID)
	}
	return ServerName(r.ID + "@" + r.Born.UTC().Format("150405.000"))
}

// Equal returns whether two registrations state the same, apart from how long the server stays cold.
func (r Registration) Equal(other Registration) bool {
	r.WarmupLeft, other.WarmupLeft = 0, 0
	born, otherBorn := r.Born, other.Born
	r.Born, other.Born = time.Time{}, time.Time{}
	return r == other && born.Equal(otherBorn)
}

// ServerList is what the hosts keep in the platform's store of the registered servers, for hosts that start while the
// servers' own entries have expired.
type ServerList struct {
	Servers []Registration `json:"servers"`
}

// HostRecord is what an entry host states of itself to the other hosts through the platform's store.
type HostRecord struct {
	Name      string         `json:"name"`
	Zone      string         `json:"zone"`
	Entry     netip.AddrPort `json:"entry"`     // where callers connect
	Readiness netip.AddrPort `json:"readiness"` // where other hosts ask whether it takes requests
	// Peer is where other hosts read the collections that this host follows.
	Peer netip.AddrPort `json:"peer,omitzero"`
	// Capacity is the host's share of a processor core.
	Capacity float64 `json:"capacity"`
	// Process differs between two starts of the host.
	Process string `json:"process"`
}
