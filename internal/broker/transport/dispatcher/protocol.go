package dispatcher

import (
	"encoding/json"

	"github.com/yuccarock/yuccarock/internal/broker"
)

// Paths and headers of the backend protocol.
const (
	PathSearch     = "/v1/search"
	PathStatus     = "/v1/status"
	HeaderDeadline = "Yuccarock-Deadline"
	HeaderTrace    = "traceparent"
)

// SearchRequest is the body of POST /v1/search.
type SearchRequest struct {
	RequestID    string           `json:"requestId"`
	Shard        broker.ShardName `json:"shard"`
	Snapshot     broker.Snapshot  `json:"snapshot"`
	Partitioning uint64           `json:"partitioning"`
	Attempt      uint32           `json:"attempt"`
	Limit        int              `json:"limit"`
	Kind         string           `json:"kind"`
	Body         json.RawMessage  `json:"body,omitempty"`
}

// SearchAnswer is the body of an answer with status 200.
type SearchAnswer struct {
	RequestID    string           `json:"requestId"`
	Shard        broker.ShardName `json:"shard"`
	Snapshot     broker.Snapshot  `json:"snapshot"`
	Partitioning uint64           `json:"partitioning"`
	Attempt      uint32           `json:"attempt"`
	Hits         []broker.Hit     `json:"hits"`
	BootID       string           `json:"bootId"`
	Draining     bool             `json:"draining"`
}

// Refusal is the body of an answer with status 503 or 409. A server that does not name the request and attempt cannot
// refuse a request that may run once only, except on a new connection: the refusal could be a late copy of another one.
type Refusal struct {
	RequestID  string        `json:"requestId,omitempty"`
	Attempt    uint32        `json:"attempt,omitempty"`
	NotStarted bool          `json:"notStarted"`
	Reason     broker.Reason `json:"reason"`
	BootID     string        `json:"bootId,omitempty"`
	Draining   bool          `json:"draining,omitempty"`
}
