package broker

import "time"

// Message is a message between nodes; exactly one field is set.
type Message struct {
	Heartbeat      *Heartbeat      `cbor:"1,keyasint,omitempty"`
	HeartbeatReply *HeartbeatReply `cbor:"2,keyasint,omitempty"`
	SubRequest     *SubRequest     `cbor:"3,keyasint,omitempty"`
	SubAnswer      *SubAnswer      `cbor:"4,keyasint,omitempty"`
	Cancel         *Cancel         `cbor:"5,keyasint,omitempty"`
	ServerState    *ServerState    `cbor:"6,keyasint,omitempty"`
	Forward        *Forward        `cbor:"7,keyasint,omitempty"`
	ForwardAnswer  *ForwardAnswer  `cbor:"8,keyasint,omitempty"`
	Release        *Release        `cbor:"9,keyasint,omitempty"`
	ConfigFetch    *ConfigFetch    `cbor:"10,keyasint,omitempty"`
	Config         *ConfigObject   `cbor:"11,keyasint,omitempty"`
	CrashReport    *CrashReport    `cbor:"12,keyasint,omitempty"`
	Quarantine     *Quarantine     `cbor:"13,keyasint,omitempty"`
	Membership     *Membership     `cbor:"14,keyasint,omitempty"`
}

// Heartbeat announces the sender and asks the receiver for a lease grant.
type Heartbeat struct {
	Sequence   uint64     `cbor:"1,keyasint"`
	Generation Generation `cbor:"2,keyasint"`
	Excluded   []NodeID   `cbor:"3,keyasint,omitempty"`
	Revision   Revision   `cbor:"4,keyasint"` // active configuration of the sender
	Leaving    bool       `cbor:"5,keyasint,omitempty"`
}

// HeartbeatReply answers the heartbeat with the same sequence number.
type HeartbeatReply struct {
	Sequence   uint64     `cbor:"1,keyasint"`
	Generation Generation `cbor:"2,keyasint"`
	Excluded   []NodeID   `cbor:"3,keyasint,omitempty"`
	Revision   Revision   `cbor:"4,keyasint"`
	Granted    bool       `cbor:"5,keyasint,omitempty"`
	Leaving    bool       `cbor:"6,keyasint,omitempty"`
}

// Cancel cancels one attempt.
type Cancel struct {
	RequestID string    `cbor:"1,keyasint"`
	Shard     ShardName `cbor:"2,keyasint"`
	Attempt   uint32    `cbor:"3,keyasint"`
}

// Forward sends a complete query to the claim point of its shard, the node that deduplicates its request IDs.
type Forward struct {
	Sequence    uint64        `cbor:"5,keyasint"` // repeated in the answer
	Query       Query         `cbor:"1,keyasint"`
	Remaining   time.Duration `cbor:"2,keyasint"`
	Revision    Revision      `cbor:"3,keyasint"`
	TraceParent string        `cbor:"4,keyasint,omitempty"`
}

// ForwardAnswer returns the answer to a forwarded query.
type ForwardAnswer struct {
	Sequence uint64 `cbor:"1,keyasint"`
	Answer   Answer `cbor:"2,keyasint"`
}

// Claim records that the request ID of a non-idempotent request was accepted, and the answer once there is one.
type Claim struct {
	RequestID string    `cbor:"1,keyasint"`
	Claimed   time.Time `cbor:"2,keyasint"`
	Answer    *Answer   `cbor:"3,keyasint,omitempty"`
}

// ShardClaims are the claims that a claim point keeps for one shard.
type ShardClaims struct {
	Service string    `cbor:"1,keyasint"`
	Shard   ShardName `cbor:"2,keyasint"`
	Fence   time.Time `cbor:"3,keyasint"` // request IDs created earlier are refused
	Claims  []Claim   `cbor:"4,keyasint,omitempty"`
}

// Release transfers servers and claim points to the receiver, which owns them under Generation; the sender stops
// dispatching to them.
type Release struct {
	Generation Generation    `cbor:"1,keyasint"`
	Servers    []ServerState `cbor:"2,keyasint,omitempty"`
	Claims     []ShardClaims `cbor:"3,keyasint,omitempty"`
	// Cleared reports that no member ranked before the sender will dispatch to them in this generation either.
	Cleared bool `cbor:"4,keyasint,omitempty"`
}

// ConfigFetch requests the receiver's configuration if it is newer than Revision.
type ConfigFetch struct {
	Revision   Revision   `cbor:"1,keyasint"`
	Generation Generation `cbor:"2,keyasint"`
}

// ConfigObject is a configuration as stored, with its revision.
type ConfigObject struct {
	Revision Revision `cbor:"1,keyasint"`
	Value    []byte   `cbor:"2,keyasint"`
}

// Quarantine lists the fingerprints that no node may run. It is sent in full when a link comes up.
type Quarantine struct {
	Suspects    []Fingerprint `cbor:"1,keyasint,omitempty"`
	Quarantined []Fingerprint `cbor:"2,keyasint,omitempty"`
}

// Peers sends messages to other nodes.
type Peers interface {
	// Send queues a message without blocking. It fails if no link to the node is up or the queue of the link is full;
	// no byte of the message is sent then.
	Send(to NodeID, message Message) error
}

// PeerHandler receives messages and link state changes; calls for the same node do not overlap.
type PeerHandler interface {
	HandleMessage(from NodeID, message Message)
	LinkUp(node NodeID)
	LinkDown(node NodeID)
}
