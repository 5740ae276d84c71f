package leaser

import "time"

// Settings are the intervals and timeouts of the protocol; all members of a cell must use the same values.
type Settings struct {
	TickInterval      time.Duration // interval of Tick events
	HeartbeatInterval time.Duration // interval of heartbeats to each member
	SilenceTimeout    time.Duration // silence after which a member may be excluded
	LeaseDuration     time.Duration // validity of a grant, from the send time of the heartbeat
	// TakeoverWait is the lease plus a clock margin: the clocks of two members may differ in rate by 5%.
	TakeoverWait time.Duration
	// HostGoneAfter is how long a host must be both missing from the host list and silent to count as lost.
	HostGoneAfter time.Duration
	// RewriteInterval is the interval at which RewriteMembership repeats.
	RewriteInterval time.Duration
	// ZoneChangeDelay is the wait of the new owner of a server whose zone a configuration has changed. It covers the
	// time within which all members put a configuration in force.
	ZoneChangeDelay time.Duration
}

// clockMarginDivisor sets the clock margin to 5% of the lease.
const clockMarginDivisor = 20

// DefaultSettings returns the settings that docs/design.md states.
func DefaultSettings() Settings {
	const lease = 2 * time.Second
	return Settings{
		TickInterval:      50 * time.Millisecond,
		HeartbeatInterval: 250 * time.Millisecond,
		SilenceTimeout:    2 * time.Second,
		LeaseDuration:     lease,
		TakeoverWait:      lease + lease/clockMarginDivisor,
		HostGoneAfter:     30 * time.Second,
		RewriteInterval:   time.Second,
		ZoneChangeDelay:   5 * time.Second,
	}
}

// earlierRewriteThreshold is the number of earlier generations in the member list at which a member that has confirmed
// the current generation rewrites the list without them.
const earlierRewriteThreshold = 4
