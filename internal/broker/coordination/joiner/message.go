package joiner

import (
	"slices"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/leaser"
)

// handoverRetry is how long a handover is offered to a node to which no link is up; the receiver's own wait
// ends after about that time.
const handoverRetry = 2 * time.Second

// handover is a release that could not be sent yet.
type handover struct {
	to      broker.NodeID
	release broker.Release
	until   time.Time
}

// HandleMessage takes the messages of membership and configuration and ignores all others; it never blocks.
func (j *Joiner) HandleMessage(from broker.NodeID, message broker.Message) {
	if message.Heartbeat == nil && message.HeartbeatReply == nil && message.Release == nil &&
		message.ConfigFetch == nil && message.Config == nil && message.Membership == nil {
		return
	}
	select {
	case j.events <- func() { j.handle(from, message) }:
	default:
		j.counters.dropped.Inc()
	}
}

// LinkUp asks a node for a newer configuration and member list than the own ones, which is how a process starts
// while the store is down.
func (j *Joiner) LinkUp(node broker.NodeID) {
	j.post(func() { j.fetch(node) })
}

// LinkDown does nothing: only silence excludes a member.
func (j *Joiner) LinkDown(broker.NodeID) {}

func (j *Joiner) handle(from broker.NodeID, message broker.Message) {
	now := j.clock.Now()
	switch {
	case message.Heartbeat != nil:
		j.step(now, leaser.MessageReceived{From: from, Heartbeat: message.Heartbeat})
		j.compare(now, from, message.Heartbeat.Revision)
	case message.HeartbeatReply != nil:
		j.step(now, leaser.MessageReceived{From: from, Reply: message.HeartbeatReply})
		j.compare(now, from, message.HeartbeatReply.Revision)
	case message.ConfigFetch != nil:
		j.answerFetch(from, message.ConfigFetch)
	case message.Config != nil:
		j.offer(*message.Config)
	case message.Membership != nil:
		j.adoptMembership(*message.Membership)
	case message.Release != nil:
		j.acceptRelease(now, from, message.Release)
	}
}

// compare fetches the configuration of a peer that announces a higher revision.
func (j *Joiner) compare(now time.Time, from broker.NodeID, revision broker.Revision) {
	if now.Before(j.fetchAt) || !j.adopter.Wants(revision) {
		return
	}
	j.fetchAt = now.Add(j.settings.FetchRetry)
	j.fetch(from)
}

// fetch asks a node; a lost request or answer is made good by the next heartbeat.
func (j *Joiner) fetch(from broker.NodeID) {
	_ = j.peers.Send(from, broker.Message{ConfigFetch: &broker.ConfigFetch{
		Revision: j.adopter.Revision(), Generation: j.membership.Generation,
	}})
}

func (j *Joiner) answerFetch(from broker.NodeID, fetch *broker.ConfigFetch) {
	if object := j.adopter.Object(); object != nil && object.Revision > fetch.Revision {
		_ = j.peers.Send(from, broker.Message{Config: object})
	}
	if j.membership.Generation > fetch.Generation {
		j.pushMembership(from)
	}
}

func (j *Joiner) pushMembership(to broker.NodeID) {
	membership := j.membership
	_ = j.peers.Send(to, broker.Message{Membership: &membership})
}

func (j *Joiner) acceptRelease(now time.Time, from broker.NodeID, release *broker.Release) {
	if release.Generation < j.membership.Generation {
		return
	}
	j.handler.AcceptRelease(from, *release)
	keys := make([]leaser.Key, 0, len(release.Servers)+len(release.Claims))
	for i := range release.Servers {
		keys = append(keys, leaser.Key{Server: release.Servers[i].Server})
	}
	for i := range release.Claims {
		keys = append(keys, leaser.Key{Service: release.Claims[i].Service, Shard: release.Claims[i].Shard})
	}
	j.step(now, leaser.ReleaseReceived{
		From: from, Generation: release.Generation, Keys: keys, Cleared: release.Cleared,
	})
}

// release sends the handler's state of lost keys to their next owner.
func (j *Joiner) release(now time.Time, action leaser.Handover) {
	servers, claims := split(action.Keys)
	release := j.handler.BuildRelease(servers, claims)
	release.Generation, release.Cleared = action.Generation, action.Cleared
	for _, server := range servers {
		has := func(s broker.ServerState) bool { return s.Server == server }
		if !slices.ContainsFunc(release.Servers, has) {
			release.Servers = append(release.Servers, broker.ServerState{Server: server, Phase: broker.PhaseUnknown})
		}
	}
	for _, claim := range claims {
		has := func(c broker.ShardClaims) bool { return c.Service == claim.Service && c.Shard == claim.Shard }
		if !slices.ContainsFunc(release.Claims, has) {
			j.log.Warn("release without the claims of a shard", "service", claim.Service, "shard", claim.Shard)
		}
	}
	j.handovers = append(j.handovers, handover{to: action.To, release: release, until: now.Add(handoverRetry)})
	j.retryHandovers(now)
}

func (j *Joiner) retryHandovers(now time.Time) {
	j.handovers = slices.DeleteFunc(j.handovers, func(h handover) bool {
		return j.peers.Send(h.to, broker.Message{Release: &h.release}) == nil || now.After(h.until)
	})
}

func split(keys []leaser.Key) (servers []broker.ServerName, claims []ShardID) {
	for _, key := range keys {
		if key.Server != "" {
			servers = append(servers, key.Server)
		} else {
			claims = append(claims, ShardID{Service: key.Service, Shard: key.Shard})
		}
	}
	return servers, claims
}
