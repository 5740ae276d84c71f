package configurator

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"time"
)

// MaxSize is the maximum size of an encoded configuration in bytes, a limit of the platform's store.
const MaxSize = 1_000_000

// ZoneState states whether an availability zone is in service.
type ZoneState string

// States of an availability zone.
const (
	ZoneIn  ZoneState = "in"
	ZoneOut ZoneState = "out"
)

// Routing determines which shards of a service receive a request.
type Routing string

// Routings of a service.
const (
	RoutingScatter Routing = "scatter" // all shards
	RoutingKey     Routing = "key"     // the shard that the query's key maps to
	RoutingAny     Routing = "any"     // one shard, whichever it is
)

// Canary determines when a scatter request is sent to one shard before the others.
type Canary string

// Canary settings of a request kind.
const (
	CanaryNever  Canary = "never"
	CanaryUnseen Canary = "unseen" // if no equal request has been answered before
	CanaryAlways Canary = "always"
)

// Duration is a time.Duration that is encoded in JSON as a string such as "6ms".
type Duration time.Duration

// MarshalJSON encodes the duration as a string such as "6ms".
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON decodes a string such as "6ms".
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return fmt.Errorf("duration must be a string such as \"6ms\": %w", err)
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("could not parse duration: %w", err)
	}
	*d = Duration(value)
	return nil
}

// Zone is an availability zone.
type Zone struct {
	Name   string    `json:"name"`
	Region string    `json:"region"`
	State  ZoneState `json:"state"`
}

// Shard is a part of a service's index, with the names of the servers that hold its replicas.
type Shard struct {
	Name    string   `json:"name"`
	Servers []string `json:"servers"`
}

// Service is a set of shards that answer the same request kinds.
type Service struct {
	Name         string  `json:"name"`
	Routing      Routing `json:"routing"`
	Partitioning uint64  `json:"partitioning"` // raised by each repartitioning
	Shards       []Shard `json:"shards"`
}

// ColdStart limits the concurrent requests of a server that is warming up.
type ColdStart struct {
	Concurrency int `json:"concurrency"` // maximum concurrent requests while cold
	Successes   int `json:"successes"`   // answers required for each step
	Step        int `json:"step"`        // concurrent requests added by each step
}

// Server is a backend server and its limits.
type Server struct {
	Name           string         `json:"name"`
	Address        netip.AddrPort `json:"address"`
	Zone           string         `json:"zone"`
	Slots          int            `json:"slots"`              // maximum concurrent requests
	Connections    int            `json:"connections"`        // maximum connections
	ConnectionCost Duration       `json:"connectionCost"`     // time to open a connection
	Draining       bool           `json:"draining,omitempty"` // receives no new work
	Cold           ColdStart      `json:"cold"`
}

// RequestKind states how requests of one kind are processed.
type RequestKind struct {
	Name          string   `json:"name"`
	Service       string   `json:"service"`
	Idempotent    bool     `json:"idempotent"` // may run more than once
	Deadline      Duration `json:"deadline"`
	MinCoverage   float64  `json:"minCoverage"`   // minimum share of shards that must answer, 0 to 1
	HedgeQuantile float64  `json:"hedgeQuantile"` // quantile of a shard's latency after which a hedge is sent; 0 for none
	HedgeBudget   float64  `json:"hedgeBudget"`   // hedges as a share of base load, 0 to 1
	RetryBudget   float64  `json:"retryBudget"`   // retries as a share of base load, 0 to 1
	Priority      int      `json:"priority"`      // under overload, requests with a higher number are refused later
	Canary        Canary   `json:"canary"`
}

// Config is the complete configuration, as it is stored and as nodes apply it.
type Config struct {
	Name         string `json:"name"`
	SubmissionID string `json:"submissionId,omitempty"`
	// AllowAllZonesOut permits a configuration in which every availability zone is out of service.
	AllowAllZonesOut bool          `json:"allowAllZonesOut,omitempty"`
	Zones            []Zone        `json:"zones"`
	Services         []Service     `json:"services"`
	Servers          []Server      `json:"servers"`
	RequestKinds     []RequestKind `json:"requestKinds"`
}
