package leaser

import "github.com/yuccarock/yuccarock/internal/broker"

// Key identifies what is owned: a backend server, or the claim point of a shard.
type Key struct {
	Server  broker.ServerName
	Service string
	Shard   broker.ShardName
}

// rankKey returns the string that is hashed for the rank order.
func (k Key) rankKey() string {
	if k.Server != "" {
		return string(k.Server)
	}
	return k.Service + "/" + string(k.Shard)
}

// Resource is a key with the preferred zone of its owner; an empty zone means no preference.
type Resource struct {
	Key  Key
	Zone string
}

// Event is an input of Core.Step.
type Event interface{ event() }

// Tick reports that time has passed; it is due every Settings.TickInterval.
type Tick struct{}

// MessageReceived reports a heartbeat or a heartbeat reply from another node.
type MessageReceived struct {
	From      broker.NodeID
	Heartbeat *broker.Heartbeat
	Reply     *broker.HeartbeatReply
}

// ReleaseReceived reports a planned handover by the previous holder of keys.
type ReleaseReceived struct {
	From       broker.NodeID
	Generation broker.Generation
	Keys       []Key
	Cleared    bool
}

// AdoptMembership supplies a member list from the store or a peer; it is ignored unless its generation is higher than
// the current one.
type AdoptMembership struct{ Membership broker.Membership }

// AssignResources replaces the set of resources that the cell owns.
type AssignResources struct{ Resources []Resource }

// HostListRead supplies the platform's current host list.
type HostListRead struct{ Hosts []broker.Host }

// Leave makes this member hand over all its keys.
type Leave struct{}

func (Tick) event()            {}
func (MessageReceived) event() {}
func (ReleaseReceived) event() {}
func (AdoptMembership) event() {}
func (AssignResources) event() {}
func (HostListRead) event()    {}
func (Leave) event()           {}

// Action is an output of Core.Step.
type Action interface{ action() }

// SendMessage asks for a heartbeat or heartbeat reply to be sent to another node.
type SendMessage struct {
	To      broker.NodeID
	Message broker.Message
}

// PushMembership asks for the current member list to be sent to a node that has an older one.
type PushMembership struct{ To broker.NodeID }

// KeysGained reports keys to which this member may dispatch from now on.
type KeysGained struct {
	Keys    []Key
	Planned bool
}

// KeysLost reports keys to which this member may no longer dispatch.
type KeysLost struct {
	Keys    []Key
	Planned bool
}

// Handover asks to tell the next owner that this member no longer dispatches to Keys. Cleared means that no member
// ranked before this one will dispatch to them in the generation either.
type Handover struct {
	To         broker.NodeID
	Generation broker.Generation
	Keys       []Key
	Cleared    bool
}

// successor is the next owner of keys; cleared is passed on as Handover.Cleared.
type successor struct {
	to      broker.NodeID
	cleared bool
}

// RewriteMembership asks for a new member list without the members in Remove; it repeats until the generation changes.
type RewriteMembership struct{ Remove []broker.NodeID }

// Rejoin asks for a new incarnation of this process, because the current one was excluded or removed.
type Rejoin struct{}

// LifecycleChanged reports a state change of the lease.
type LifecycleChanged struct{ From, To Lifecycle }

func (SendMessage) action()       {}
func (PushMembership) action()    {}
func (KeysGained) action()        {}
func (KeysLost) action()          {}
func (Handover) action()          {}
func (RewriteMembership) action() {}
func (Rejoin) action()            {}
func (LifecycleChanged) action()  {}
