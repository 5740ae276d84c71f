package broker

import (
	"context"
	"net/netip"
	"time"
)

// EntryAddress is the address of an entry host for callers.
type EntryAddress struct {
	Address netip.AddrPort `json:"address"`
	Zone    string         `json:"zone"`
}

// Entries is the answer to a resolve request: the addresses to use, in order of preference.
type Entries struct {
	Entries    []EntryAddress `json:"entries"`
	TimeToLive string         `json:"timeToLive"` // a Go duration such as "2s"
	Revision   Revision       `json:"revision"`
	Now        time.Time      `json:"now"`
}

// ServiceCoverage counts the shards of a service and those with an available replica.
type ServiceCoverage struct {
	Service         string `json:"service"`
	ShardsTotal     int    `json:"shardsTotal"`
	ShardsAvailable int    `json:"shardsAvailable"`
}

// NodeStatus is the state, configuration and membership of one node.
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

// QueryService is the interface of a node for callers and operators.
type QueryService interface {
	// Query runs a query until ctx is done and reports refusals and failures in the answer. For an invalid query it
	// returns an Error of KindInvalid.
	Query(ctx context.Context, query Query) (Answer, error)
	// Entries returns the addresses that callers should use now.
	Entries(now time.Time) Entries
	// Status returns the status of this node.
	Status() NodeStatus
	// Ready returns nil if the node accepts new requests, and the reason otherwise.
	Ready() error
}
