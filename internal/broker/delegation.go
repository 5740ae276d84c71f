package broker

import (
	"context"
	"net/http"
	"net/netip"
	"time"
)

// Delegation is a set of sub-requests of one scatter that a host of another availability zone sends to the backend
// servers near it.
type Delegation struct {
	RequestID string      `cbor:"1,keyasint"`
	Method    string      `cbor:"2,keyasint"`
	Target    string      `cbor:"3,keyasint"`
	Host      string      `cbor:"4,keyasint"`
	Header    http.Header `cbor:"5,keyasint,omitempty"`
	Body      []byte      `cbor:"6,keyasint,omitempty"`
	// Remaining is the time until the deadline of the request.
	Remaining time.Duration `cbor:"7,keyasint"`
	// ReceivedAt is when the message began to arrive, by the clock of the host that runs it.
	ReceivedAt time.Time `cbor:"-"`
	// CollectFor is how long answers are held back so that they are merged into one message.
	CollectFor time.Duration `cbor:"8,keyasint"`
	// TopRecords is the maximum number of records of the answer to the scatter.
	TopRecords int `cbor:"9,keyasint"`
	// Servers are the receivers of the sub-requests, one of each shard.
	Servers []ServerName `cbor:"10,keyasint"`
	// TraceParent is the trace context of the request, empty without tracing.
	TraceParent string `cbor:"11,keyasint,omitempty"`
}

// PartResults are results of sub-requests of a delegation. Records merges the parts of all answered ones, so that they
// can only be used together.
type PartResults struct {
	Parts   []PartResult `cbor:"1,keyasint"`
	Records []byte       `cbor:"2,keyasint,omitempty"`
	// Elapsed is the time from the arrival of the delegation to the sending of this message.
	Elapsed time.Duration `cbor:"3,keyasint"`
}

// PartResult is the result of one sub-request of a delegation.
type PartResult struct {
	Position int     `cbor:"1,keyasint"` // in Delegation.Servers
	Outcome  Outcome `cbor:"2,keyasint"`
	Reason   Reason  `cbor:"3,keyasint,omitempty"`
	// Sent reports whether any byte of the sub-request may have reached the server.
	Sent bool `cbor:"4,keyasint,omitempty"`
	// Latency is the duration of the exchange with the server.
	Latency time.Duration `cbor:"5,keyasint,omitempty"`
	// Signature is the server's signature of an answered part.
	Signature string `cbor:"6,keyasint,omitempty"`
	// Outages is ServerReply.Outages of the exchange.
	Outages int `cbor:"7,keyasint,omitempty"`
	// Notice is what the server states about itself in its answer, or nil if it did not answer.
	Notice *ServerNotice `cbor:"8,keyasint,omitempty"`
}

// DelegationSender sends delegations to other hosts.
type DelegationSender interface {
	// Send calls deliver with the results as they arrive and returns after the last ones. Sent reports whether the host
	// may have begun to run the delegation; it is true if err is nil.
	Send(ctx context.Context, host netip.AddrPort, delegation *Delegation, deliver func(*PartResults)) (sent bool, err error)
}
