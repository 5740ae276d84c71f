package accountant

import "sync/atomic"

// largeBytes is the memory from which a request that has arrived is large.
const largeBytes = 32 << 10

// Lease moves the memory of the connection, and further bytes, to a lease for a request that is about to run.
func (c *Connection) Lease(further int64) (*Lease, error) {
	arrived := c.bytes.Load()
	if !c.account.Fits(arrived+further, IsLarge(arrived)) {
		return nil, &Error{Op: "reserve memory", Kind: KindFull}
	}
	if err := c.account.reserve(c, further, rankByUse); err != nil {
		return nil, err
	}
	l := &Lease{account: c.account}
	l.holders.Store(1)
	l.add(further + c.bytes.Swap(0))
	return l, nil
}

// IsLarge reports whether a request that has arrived with the given memory is large.
func IsLarge(bytes int64) bool { return bytes > largeBytes }

// Lease is the memory of a request in progress, which its attempts may hold for longer than its connection. The methods of
// a nil lease do nothing.
type Lease struct {
	account *Account
	bytes   atomic.Int64
	holders atomic.Int64
}

// Extend adds memory, whether or not there is room: an answer that is ready is delivered.
func (l *Lease) Extend(bytes int64) {
	if l != nil {
		l.add(bytes)
		l.account.used.Add(bytes)
	}
}

func (l *Lease) add(bytes int64) {
	l.bytes.Add(bytes)
	l.account.leased.Add(bytes)
}

// Retain adds a holder.
func (l *Lease) Retain() {
	if l != nil {
		l.holders.Add(1)
	}
}

// Release removes a holder; the last one returns the memory.
func (l *Lease) Release() {
	if l != nil && l.holders.Add(-1) == 0 {
		l.account.leased.Add(-l.bytes.Load())
		l.account.release(l.bytes.Load())
	}
}
