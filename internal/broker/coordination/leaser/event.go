package leaser

import "github.com/yuccarock/yuccarock/internal/broker"

// Key names what is owned: a backend server, or the claim point of a shard.
type Key struct {
	Server  broker.ServerName
	Service string
	Shard   broker.ShardName
}

// rankKey returns the text that is hashed for the rank order.
func (k Key) rankKey() string {
	if k.Server != "" {
		return string(k.Server)
	}
	return k.Service + "/" + string(k.Shard)
}

// Resource is a key with the zone that its owner should be in; an empty zone gives no preference.
type Resource struct {
	Key  Key
	Zone string
}

// Event is one input of a Core.
type Event interface{ event() }

// Tick lets time pass; it is due every Settings.Tick.
type Tick struct{}

// Received is a heartbeat or a reply from another node.
type Received struct {
	From      broker.NodeID
	Heartbeat *broker.Heartbeat
	Reply     *broker.HeartbeatReply
}

// Released is a planned handover by the previous holder.
type Released struct {
	From       broker.NodeID
	Generation broker.Generation
	Keys       []Key
	Cleared    bool
}

// Adopt is a member list from the store or a peer; lower generations than the current one are ignored.
type Adopt struct{ Membership broker.Membership }

// Assign replaces the set of keys that the cell owns.
type Assign struct{ Resources []Resource }

// HostList is a reading of the platform's host list.
type HostList struct{ Hosts []broker.Host }

// Leave gives up all keys as a planned handover.
type Leave struct{}

func (Tick) event()     {}
func (Received) event() {}
func (Released) event() {}
func (Adopt) event()    {}
func (Assign) event()   {}
func (HostList) event() {}
func (Leave) event()    {}

// Action is one output of a Core, to be carried out in order.
type Action interface{ action() }

// Send is a heartbeat or reply for another node.
type Send struct {
	To      broker.NodeID
	Message broker.Message
}

// PushMembership sends the current member list to a node that has an older one.
type PushMembership struct{ To broker.NodeID }

// Gained reports keys to which this member may dispatch from now on.
type Gained struct {
	Keys    []Key
	Planned bool
}

// Lost reports keys to which this member may no longer dispatch.
type Lost struct {
	Keys    []Key
	Planned bool
}

// Handover tells the next owner that this member no longer dispatches to Keys; where it is cleared, no member
// ranked before this one will dispatch to them in the generation either.
type Handover struct {
	To         broker.NodeID
	Generation broker.Generation
	Keys       []Key
	Cleared    bool
}

// successor is who takes over keys, with what it may rely on.
type successor struct {
	to      broker.NodeID
	cleared bool
}

// Rewrite asks for a new generation without Remove; it repeats until the generation changes.
type Rewrite struct{ Remove []broker.NodeID }

// Rejoin asks for a new incarnation, because this one was excluded or removed.
type Rejoin struct{}

// Changed reports a change of the lease's lifecycle.
type Changed struct{ From, To Lifecycle }

func (Send) action()           {}
func (PushMembership) action() {}
func (Gained) action()         {}
func (Lost) action()           {}
func (Handover) action()       {}
func (Rewrite) action()        {}
func (Rejoin) action()         {}
func (Changed) action()        {}
