package broker

import (
	"context"
	"errors"
	"net/netip"
	"time"
)

// Clock gives the current time with a monotonic reading.
type Clock interface {
	Now() time.Time
}

// Object is a value of the platform's store with its version. Version zero means that the object does not exist.
type Object struct {
	Key     string
	Version uint64
	Value   []byte
}

// HostState is the state of a host in the platform's list of hosts.
type HostState string

// Host states.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is one entry of the platform's list of hosts.
type Host struct {
	Address netip.Addr `json:"address"`
	State   HostState  `json:"state"`
}

// Store is the platform's object store.
type Store interface {
	// Get returns the object stored at key, or an object with version zero if there is none.
	Get(ctx context.Context, key string) (Object, error)
	// GetNewer returns the object stored at key if its version differs from version, and otherwise an object with
	// version zero.
	GetNewer(ctx context.Context, key string, version uint64) (Object, error)
	// Put writes value if the stored version equals version, and returns the new version.
	Put(ctx context.Context, key string, value []byte, version uint64) (uint64, error)
	// Watch returns the object stored at key once its version is higher than version, or an error when ctx is done.
	Watch(ctx context.Context, key string, version uint64) (Object, error)
	// Hosts returns the platform's list of live and leaving hosts. The list may be out of date.
	Hosts(ctx context.Context) ([]Host, error)
}

// BackendRequest is a request to a backend server.
type BackendRequest struct {
	Sub     SubRequest
	Address netip.AddrPort
	// Fresh requires a connection that has not carried a request yet.
	Fresh bool
	// Permit is called immediately before the first byte of the request is sent; if it returns false, the request is
	// not sent. A nil Permit always allows the request.
	Permit func() bool
}

// BackendResult is the result of a request to a backend server.
type BackendResult struct {
	Answer SubAnswer
	// BytesSent reports whether any byte of the request may have left this host.
	BytesSent bool
	// Reused reports whether the connection had already carried another request.
	Reused bool
	// BootID is the boot ID in the server's answer, or empty if the answer had none.
	BootID string
	// Draining reports whether the server announced its shutdown.
	Draining bool
}

// ErrUnreachable is wrapped by errors of Backend.Status if the server does not accept the connection or closes it.
var ErrUnreachable = errors.New("backend server unreachable")

// BackendStatus is the content of a backend server's status endpoint. It may be out of date or wrong.
type BackendStatus struct {
	BootID       string                   `json:"bootId"`
	Draining     bool                     `json:"draining"`
	Cold         bool                     `json:"cold"`
	Load         int                      `json:"load"`
	Shards       map[ShardName][]Snapshot `json:"shards"`
	Partitioning uint64                   `json:"partitioning"`
}

// Backend sends requests to backend servers and enforces their connection limits.
type Backend interface {
	// Send sends one request with the deadline of ctx.
	Send(ctx context.Context, req BackendRequest) BackendResult
	// Status fetches the status endpoint of a server.
	Status(ctx context.Context, server ServerName, address netip.AddrPort) (BackendStatus, error)
}
