package leaser

import "time"

// Settings are the times of the protocol; all members of a cell must use the same ones.
type Settings struct {
	Tick      time.Duration // interval of Tick events
	Heartbeat time.Duration // interval of heartbeats to each member
	Silence   time.Duration // a member not heard from for this long may be excluded
	Lease     time.Duration // validity of a grant, from the send time of the heartbeat
	// Wait is the lease plus the clock margin: the clocks of two members may differ in rate by 5%.
	Wait time.Duration
	// HostGone is how long a host must be missing from the host list, and silent, to count as lost.
	HostGone time.Duration
	// Rewrite is the interval at which a Rewrite repeats.
	Rewrite time.Duration
	// Rezone delays the owner of a server whose zone a configuration has changed, because the members do
	// not put a configuration in force at the same moment; it is the bound for that.
	Rezone time.Duration
}

// clockMarginDivisor makes the clock margin 5% of the lease.
const clockMarginDivisor = 20

// DefaultSettings returns the settings of the design page.
func DefaultSettings() Settings {
	const lease = 2 * time.Second
	return Settings{
		Tick:      50 * time.Millisecond,
		Heartbeat: 250 * time.Millisecond,
		Silence:   2 * time.Second,
		Lease:     lease,
		Wait:      lease + lease/clockMarginDivisor,
		HostGone:  30 * time.Second,
		Rewrite:   time.Second,
		Rezone:    5 * time.Second,
	}
}

// maxEarlier is the number of unconfirmed earlier generations from which a confirmed member rewrites the list.
const maxEarlier = 4
