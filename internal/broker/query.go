package broker

import (
	"encoding/json"
	"time"
)

// NodeID identifies one process of a node, in the form "name/incarnation".
type NodeID string

// ServerName is the name of a backend server in the configuration.
type ServerName string

// ShardName is the name of a shard within its service.
type ShardName string

// Snapshot is the version of a service's index; higher is newer, zero means none.
type Snapshot uint64

// Revision is the version of a configuration; higher is newer, zero means none.
type Revision uint64

// Fingerprint is a hash of a request's kind and body that does not depend on its request ID.
type Fingerprint uint64

// Query is a caller's request as accepted by an entry host.
type Query struct {
	RequestID string          `json:"requestId" cbor:"1,keyasint"`
	Kind      string          `json:"kind" cbor:"2,keyasint"`
	Key       string          `json:"key,omitempty" cbor:"3,keyasint,omitempty"`
	Limit     int             `json:"limit,omitempty" cbor:"4,keyasint,omitempty"`
	Body      json.RawMessage `json:"body,omitempty" cbor:"5,keyasint,omitempty"`
}

// Hit is one scored result of a backend server.
type Hit struct {
	ID     string          `json:"id" cbor:"1,keyasint"`
	Score  float64         `json:"score" cbor:"2,keyasint"`
	Shard  ShardName       `json:"shard,omitempty" cbor:"3,keyasint,omitempty"`
	Fields json.RawMessage `json:"fields,omitempty" cbor:"4,keyasint,omitempty"`
}

// MissingShard is a shard without an answer, with the reason.
type MissingShard struct {
	Shard  ShardName `json:"shard" cbor:"1,keyasint"`
	Reason Reason    `json:"reason" cbor:"2,keyasint"`
}

// Coverage states how many of the shards of a query answered.
type Coverage struct {
	ShardsTotal    int            `json:"shardsTotal" cbor:"1,keyasint"`
	ShardsAnswered int            `json:"shardsAnswered" cbor:"2,keyasint"`
	Missing        []MissingShard `json:"missing,omitempty" cbor:"3,keyasint,omitempty"`
}

// Answer is an entry host's answer to a query.
type Answer struct {
	RequestID string   `json:"requestId" cbor:"1,keyasint"`
	Status    Status   `json:"status" cbor:"2,keyasint"`
	Reason    Reason   `json:"reason,omitempty" cbor:"3,keyasint,omitempty"`
	Snapshot  Snapshot `json:"snapshot,omitempty" cbor:"4,keyasint,omitempty"`
	Revision  Revision `json:"revision,omitempty" cbor:"5,keyasint,omitempty"`
	Coverage  Coverage `json:"coverage" cbor:"6,keyasint"`
	Hits      []Hit    `json:"hits,omitempty" cbor:"7,keyasint,omitempty"`
	Entries   []string `json:"entries,omitempty" cbor:"8,keyasint,omitempty"`
}

// SubRequest is one attempt at one shard, sent by an entry host to the owner of a backend server.
type SubRequest struct {
	RequestID    string        `cbor:"1,keyasint"`
	Service      string        `cbor:"2,keyasint"`
	Shard        ShardName     `cbor:"3,keyasint"`
	Server       ServerName    `cbor:"4,keyasint"`
	Attempt      uint32        `cbor:"5,keyasint"`
	Snapshot     Snapshot      `cbor:"6,keyasint"`
	Partitioning uint64        `cbor:"7,keyasint"`
	Kind         string        `cbor:"8,keyasint"`
	Idempotent   bool          `cbor:"9,keyasint"`
	Priority     int           `cbor:"10,keyasint"`
	Remaining    time.Duration `cbor:"11,keyasint"` // time left until the deadline when sent
	Fingerprint  Fingerprint   `cbor:"12,keyasint"`
	Limit        int           `cbor:"13,keyasint,omitempty"`
	Body         []byte        `cbor:"14,keyasint,omitempty"`
	TraceParent  string        `cbor:"15,keyasint,omitempty"`
	Revision     Revision      `cbor:"16,keyasint"`
	Canary       bool          `cbor:"17,keyasint,omitempty"` // the request may crash servers: its canaries run one by one
}

// SubAnswer is the result of one attempt. The fields that identify the sub-request have the values that the backend
// server returned.
type SubAnswer struct {
	RequestID    string        `cbor:"1,keyasint"`
	Shard        ShardName     `cbor:"2,keyasint"`
	Server       ServerName    `cbor:"3,keyasint"`
	Attempt      uint32        `cbor:"4,keyasint"`
	Snapshot     Snapshot      `cbor:"5,keyasint"`
	Partitioning uint64        `cbor:"6,keyasint"`
	Outcome      Outcome       `cbor:"7,keyasint"`
	Reason       Reason        `cbor:"8,keyasint,omitempty"`
	Hits         []Hit         `cbor:"9,keyasint,omitempty"`
	Queued       int           `cbor:"10,keyasint"` // requests waiting for the server at its owner
	Latency      time.Duration `cbor:"11,keyasint"` // time at the backend server, measured by the owner
}

// Phase is the state of a backend server as observed by its owner.
type Phase string

// Backend server phases.
const (
	PhaseUnknown  Phase = "unknown"
	PhaseCold     Phase = "cold"
	PhaseRamping  Phase = "ramping"
	PhaseWarm     Phase = "warm"
	PhaseDraining Phase = "draining"
	PhaseDown     Phase = "down"
)

// ServerState is what the owner of a backend server announces to all nodes.
type ServerState struct {
	Server       ServerName `cbor:"1,keyasint" json:"server"`
	Phase        Phase      `cbor:"2,keyasint" json:"phase"`
	Limit        int        `cbor:"3,keyasint" json:"limit"`
	Snapshots    []Snapshot `cbor:"4,keyasint" json:"snapshots"`
	Partitioning uint64     `cbor:"5,keyasint" json:"partitioning"`
	BootID       string     `cbor:"6,keyasint" json:"bootId"`
	Owner        NodeID     `cbor:"7,keyasint" json:"owner"`
	Sequence     uint64     `cbor:"8,keyasint" json:"sequence"` // increased by the owner with each change
	InFlight     int        `cbor:"9,keyasint" json:"inFlight"`
}

// QuarantinedRequest is a request that is refused because it crashes servers.
type QuarantinedRequest struct {
	Fingerprint Fingerprint `json:"fingerprint,string"`
	// Since is the start of the quarantine, on the clock of the host that stated it.
	Since time.Time `json:"since"`
}

// CrashReport informs all nodes that a backend server crashed while running a request.
type CrashReport struct {
	Fingerprint Fingerprint `cbor:"1,keyasint" json:"fingerprint"`
	Server      ServerName  `cbor:"2,keyasint" json:"server"`
	BootID      string      `cbor:"3,keyasint" json:"bootId"`
	Alone       bool        `cbor:"4,keyasint" json:"alone,omitempty"`   // no other request was running at the server
	Cleared     bool        `cbor:"5,keyasint" json:"cleared,omitempty"` // the suspected request ran alone and finished
	// Trial announces that the sender starts the single trial run of the suspected request, so that no other node does.
	Trial bool `cbor:"6,keyasint,omitempty" json:"trial,omitempty"`
}
