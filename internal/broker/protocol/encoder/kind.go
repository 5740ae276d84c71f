package encoder

import "github.com/yuccarock/yuccarock/internal/broker"

// Kind is the kind of a peer message.
type Kind uint8

// Kinds of peer messages; KindCount is the number of kinds, including KindNone.
const (
	KindNone Kind = iota
	KindHeartbeat
	KindHeartbeatReply
	KindSubRequest
	KindSubAnswer
	KindCancel
	KindServerState
	KindForward
	KindForwardAnswer
	KindRelease
	KindConfigFetch
	KindConfig
	KindCrashReport
	KindQuarantine
	KindMembership
	KindCount
)

var kindNames = [KindCount]string{
	"none", "heartbeat", "heartbeatReply", "subRequest", "subAnswer", "cancel", "serverState", "forward",
	"forwardAnswer", "release", "configFetch", "config", "crashReport", "quarantine", "membership",
}

// String returns the camel-case name used in metrics and logs.
func (k Kind) String() string {
	if k >= KindCount {
		return "unknown"
	}
	return kindNames[k]
}

// KindOf returns the kind of a message, or KindNone if it does not have exactly one field set.
func KindOf(m *broker.Message) Kind {
	set := [KindCount]bool{
		KindHeartbeat:      m.Heartbeat != nil,
		KindHeartbeatReply: m.HeartbeatReply != nil,
		KindSubRequest:     m.SubRequest != nil,
		KindSubAnswer:      m.SubAnswer != nil,
		KindCancel:         m.Cancel != nil,
		KindServerState:    m.ServerState != nil,
		KindForward:        m.Forward != nil,
		KindForwardAnswer:  m.ForwardAnswer != nil,
		KindRelease:        m.Release != nil,
		KindConfigFetch:    m.ConfigFetch != nil,
		KindConfig:         m.Config != nil,
		KindCrashReport:    m.CrashReport != nil,
		KindQuarantine:     m.Quarantine != nil,
		KindMembership:     m.Membership != nil,
	}
	kind := KindNone
	for k, present := range set {
		if !present {
			continue
		}
		if kind != KindNone {
			return KindNone
		}
		kind = Kind(k)
	}
	return kind
}
