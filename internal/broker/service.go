package broker

import (
	"context"
	"net/netip"
	"time"
)

// EntryAddress is one address that callers may use.
type EntryAddress struct {
	Address netip.AddrPort `json:"address"`
	Zone    string         `json:"zone"`
}

// Entries is the resolve answer: the addresses to use, in order of preference.
type Entries struct {
	Entries    []EntryAddress `json:"entries"`
	TimeToLive string         `json:"timeToLive"` // a Go duration such as "2s"
	Revision   Revision       `json:"revision"`
	Now        time.Time      `json:"now"`
}

// ServiceCoverage counts the shards of a service that have a replica in service.
type ServiceCoverage struct {
	Service         string `json:"service"`
	ShardsTotal     int    `json:"shardsTotal"`
	ShardsAvailable int    `json:"shardsAvailable"`
}

// NodeStatus is what one node has in force.
type NodeStatus struct {
	Node       NodeID            `json:"node"`
	Zone       string            `json:"zone"`
	State      string            `json:"state"`
	Revision   Revision          `json:"revision"`
	Generation Generation        `json:"generation"`
	Servers    []ServerState     `json:"servers"`
	Members    []Member          `json:"members"`
	Coverage   []ServiceCoverage `json:"coverage"`
}

// QueryService is what a node offers to callers and operators.
type QueryService interface {
	// Query runs one query until ctx ends and always returns an answer; a query that cannot be understood is an
	// error of kind invalid.
	Query(ctx context.Context, query Query) (Answer, error)
	// Entries returns the addresses that callers should use now.
	Entries(now time.Time) Entries
	// Status returns what this node has in force.
	Status() NodeStatus
	// Ready returns nil where the node takes new requests.
	Ready() error
}
