package configurator

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"time"
)

// MaxSize is the largest encoded configuration, in bytes, that the platform's store holds.
const MaxSize = 1_000_000

// ZoneState says whether an availability zone is in service.
type ZoneState string

// States of an availability zone.
const (
	ZoneIn  ZoneState = "in"
	ZoneOut ZoneState = "out"
)

// Routing says to which shards of a service a request goes.
type Routing string

// Routings of a service.
const (
	RoutingScatter Routing = "scatter"
	RoutingKey     Routing = "key"
	RoutingAny     Routing = "any"
)

// Canary says when a scatter request is tried on one shard before the others.
type Canary string

// Canary settings of a request kind.
const (
	CanaryNever  Canary = "never"
	CanaryUnseen Canary = "unseen"
	CanaryAlways Canary = "always"
)

// Duration is a time.Duration written as a string such as "6ms" in JSON.
type Duration time.Duration

// MarshalJSON writes the duration as a string.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON reads a string such as "6ms".
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

// Shard is a part of a service's index with the names of the servers that hold a replica.
type Shard struct {
	Name    string   `json:"name"`
	Servers []string `json:"servers"`
}

// Service is a set of shards that answer the same kinds of request.
type Service struct {
	Name         string  `json:"name"`
	Routing      Routing `json:"routing"`
	Partitioning uint64  `json:"partitioning"`
	Shards       []Shard `json:"shards"`
}

// ColdStart limits the work given to a server that is warming up.
type ColdStart struct {
	Concurrency int `json:"concurrency"` // most requests at once while cold
	Successes   int `json:"successes"`   // answers needed for each step of the ramp
	Step        int `json:"step"`        // concurrency added by each step
}

// Server is a backend server with its limits.
type Server struct {
	Name           string         `json:"name"`
	Address        netip.AddrPort `json:"address"`
	Zone           string         `json:"zone"`
	Slots          int            `json:"slots"`
	Connections    int            `json:"connections"`
	ConnectionCost Duration       `json:"connectionCost"`
	Draining       bool           `json:"draining,omitempty"`
	Cold           ColdStart      `json:"cold"`
}

// RequestKind says how one kind of request may be treated.
type RequestKind struct {
	Name          string   `json:"name"`
	Service       string   `json:"service"`
	Idempotent    bool     `json:"idempotent"`
	Deadline      Duration `json:"deadline"`
	MinCoverage   float64  `json:"minCoverage"`
	HedgeQuantile float64  `json:"hedgeQuantile"`
	HedgeBudget   float64  `json:"hedgeBudget"`
	RetryBudget   float64  `json:"retryBudget"`
	Priority      int      `json:"priority"`
	Canary        Canary   `json:"canary"`
}

// Config is the whole configuration as stored and as in force at a node.
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
