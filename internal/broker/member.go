package broker

import "net/netip"

// Member is a process that can own backend servers.
type Member struct {
	ID    NodeID         `json:"id" cbor:"1,keyasint"`
	Zone  string         `json:"zone" cbor:"2,keyasint"`
	Peer  netip.AddrPort `json:"peer" cbor:"3,keyasint"`  // UDP address of the peer link
	Entry netip.AddrPort `json:"entry" cbor:"4,keyasint"` // TCP address for callers
}

// Generation is the version of a cell's member list; higher is newer, zero means no list.
type Generation uint64

// Membership is the member list of a cell as stored at key "members/<cell>"; the generation is the version of that
// object.
type Membership struct {
	Generation Generation `json:"-" cbor:"1,keyasint"`
	Members    []Member   `json:"members" cbor:"2,keyasint"` // sorted by ID
	Previous   []Member   `json:"previous" cbor:"3,keyasint"`
	// PreviousGeneration is the generation of Previous.
	PreviousGeneration Generation `json:"previousGeneration" cbor:"4,keyasint"`
	// Earlier lists the generations before Previous that no member had confirmed as ended when this one was written.
	Earlier []PastMembers `json:"earlier,omitempty" cbor:"5,keyasint,omitempty"`
}

// PastMembers is the member list of an earlier generation.
type PastMembers struct {
	Generation Generation `json:"generation" cbor:"1,keyasint"`
	Members    []Member   `json:"members" cbor:"2,keyasint"`
}
