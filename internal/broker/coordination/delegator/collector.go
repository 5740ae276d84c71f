package delegator

import "time"

const (
	// laterResultsPause is how long a result that missed the first message waits for others.
	laterResultsPause = 300 * time.Microsecond
	// collectMargin is the part of the time until a hedge that is reserved for delays beyond the average overhead.
	collectMargin = time.Millisecond
)

// CollectTime returns how long a delegate may hold back answers so that they arrive before a hedge is sent, which is
// due hedgeAfter after the delegation was sent. Without a hedge, answers are held back for limit.
func CollectTime(hedgeAfter, overhead, limit time.Duration) time.Duration {
	if hedgeAfter == 0 {
		return limit
	}
	return max(hedgeAfter-overhead-collectMargin, 0)
}

// Collector decides when the results of a delegation are sent back.
type Collector struct {
	collectUntil time.Time
	outstanding  int
	sendAt       time.Time // zero if no result waits
}

// NewCollector returns a collector for a number of sub-requests; their answers are held back until collectUntil.
func NewCollector(subRequests int, collectUntil time.Time) *Collector {
	return &Collector{collectUntil: collectUntil, outstanding: subRequests}
}

// Add records a result and returns when it and the results before it have to be sent. A failure is sent at once, because
// the host that delegated may try another server.
func (c *Collector) Add(now time.Time, answered bool) (sendAt time.Time) {
	c.outstanding--
	switch {
	case c.outstanding == 0 || !answered:
		c.sendAt = now
	case c.sendAt.IsZero() && now.Before(c.collectUntil):
		c.sendAt = c.collectUntil
	case c.sendAt.IsZero():
		c.sendAt = now.Add(laterResultsPause)
	}
	return c.sendAt
}

// Sent records that all results so far were sent.
func (c *Collector) Sent() { c.sendAt = time.Time{} }

// Done reports whether all results have been added.
func (c *Collector) Done() bool { return c.outstanding == 0 }
