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

// Object is a value of the platform's store with its version; version zero means that it does not exist.
type Object struct {
	Key     string
	Version uint64
	Value   []byte
}

// HostState is the state of a host in the platform's host list.
type HostState string

// States of the platform's host list.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is one entry of the platform's host list.
type Host struct {
	Address netip.Addr `json:"address"`
	State   HostState  `json:"state"`
}

// Store is the platform's object store.
type Store interface {
	// Get returns the object at key, with version zero where there is none.
	Get(ctx context.Context, key string) (Object, error)
	// GetNewer returns the object at key if its version is not version, and otherwise an object with version zero.
	GetNewer(ctx context.Context, key string, version uint64) (Object, error)
	// Put writes value where the current version is equal to version and returns the new version.
	Put(ctx context.Context, key string, value []byte, version uint64) (uint64, error)
	// Watch waits until the version of key is above version, or ctx ends.
	Watch(ctx context.Context, key string, version uint64) (Object, error)
	// Hosts returns the platform's list of live and leaving hosts, which lags.
	Hosts(ctx context.Context) ([]Host, error)
}

// BackendRequest is one request to a backend server.
type BackendRequest struct {
	Sub     SubRequest
	Address netip.AddrPort
	// Fresh asks for a connection that no request has used.
	Fresh bool
	// Permit is called immediately before the first byte of the request leaves; false withholds the request. Nil
	// permits.
	Permit func() bool
}

// BackendResult is what is known after one request to a backend server.
type BackendResult struct {
	Answer SubAnswer
	// BytesSent is whether any byte of the request may have left this host.
	BytesSent bool
	// Reused is whether the request went over a connection that had carried another request.
	Reused bool
	// BootID is the boot ID that the server stated, empty where it stated none.
	BootID string
	// Draining is whether the server said that it is leaving.
	Draining bool
}

// ErrUnreachable is in the chain of an error of Backend.Status where no process accepts or keeps a connection.
var ErrUnreachable = errors.New("backend server unreachable")

// BackendStatus is the status endpoint of a backend server, which lags or misleads.
type BackendStatus struct {
	BootID       string                   `json:"bootId"`
	Draining     bool                     `json:"draining"`
	Cold         bool                     `json:"cold"`
	Load         int                      `json:"load"`
	Shards       map[ShardName][]Snapshot `json:"shards"`
	Partitioning uint64                   `json:"partitioning"`
}

// Backend sends requests to backend servers and keeps their connection caps.
type Backend interface {
	// Send runs one request; the deadline comes from ctx.
	Send(ctx context.Context, req BackendRequest) BackendResult
	// Status reads the status endpoint of a server.
	Status(ctx context.Context, server ServerName, address netip.AddrPort) (BackendStatus, error)
}
