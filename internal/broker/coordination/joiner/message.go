package joiner

import (
	"slices"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/leaser"
)

// handoverRetry is how long sending a handover to a node without a link is retried; the takeover wait of the next owner
// ends after about that time.
const handoverRetry = 2 * time.Second

// handover is a release that is still to be sent.
type handover struct {
	to      broker.NodeID
	release broker.Release
	until   time.Time
}

// HandleMessage queues membership and configuration messages and ignores all others. It never blocks: messages are
// dropped while the event queue is full.
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

// LinkUp asks a newly linked node for a newer configuration and member list. This lets a process start while the store
// is down.
func (j *Joiner) LinkUp(node broker.NodeID) {
	j.post(func() { j.requestNewer(node) })
}

// LinkDown does nothing, because a member is excluded for silence and not for a lost link.
func (j *Joiner) LinkDown(broker.NodeID) {}

func (j *Joiner) handle(from broker.NodeID, message broker.Message) {
	now := j.clock.Now()
	switch {
	case message.Heartbeat != nil:
		j.step(now, leaser.MessageReceived{From: from, Heartbeat: message.Heartbeat})
		j.fetchIfNewer(now, from, message.Heartbeat.Revision)
	case message.HeartbeatReply != nil:
		j.step(now, leaser.MessageReceived{From: from, Reply: message.HeartbeatReply})
		j.fetchIfNewer(now, from, message.HeartbeatReply.Revision)
	case message.ConfigFetch != nil:
		j.answerFetch(from, message.ConfigFetch)
	case message.Config != nil:
		j.offerConfig(*message.Config)
	case message.Membership != nil:
		j.adoptMembership(*message.Membership)
	case message.Release != nil:
		j.acceptRelease(now, from, message.Release)
	}
}

// fetchIfNewer requests the configuration of a peer that announces a higher revision.
func (j *Joiner) fetchIfNewer(now time.Time, from broker.NodeID, revision broker.Revision) {
	if now.Before(j.nextFetch) || !j.adopter.ShouldFetch(revision) {
		return
	}
	j.nextFetch = now.Add(j.settings.FetchRetryInterval)
	j.requestNewer(from)
}

// requestNewer asks a node for a newer configuration and member list. A lost request or answer needs no retry,
// because the next heartbeats reveal the difference again.
func (j *Joiner) requestNewer(from broker.NodeID) {
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

// sendRelease sends the handler's state for the keys of a handover to their next owner.
func (j *Joiner) sendRelease(now time.Time, action leaser.Handover) {
	servers, claims := splitKeys(action.Keys)
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
			j.log.Warn("release lacks the claims of a shard", "service", claim.Service, "shard", claim.Shard)
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

func splitKeys(keys []leaser.Key) (servers []broker.ServerName, claims []ShardID) {
	for _, key := range keys {
		if key.Server != "" {
			servers = append(servers, key.Server)
		} else {
			claims = append(claims, ShardID{Service: key.Service, Shard: key.Shard})
		}
	}
	return servers, claims
}
