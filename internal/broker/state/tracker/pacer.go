package tracker

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
)

// dividerRef holds the divider in use; it is compared by identity.
type dividerRef struct{ broker.RateDivider }

// pacer is a token bucket with this host's share of the rate that a server states.
type pacer struct {
	divider *atomic.Pointer[dividerRef]

	mu         sync.Mutex
	rate       float64 // stated rate and divider that share was computed from, and until when it holds
	usedBy     *dividerRef
	shareUntil time.Time
	share      broker.RateShare
	tokens     float64
	refilledAt time.Time

	pausedUntil atomic.Pointer[time.Time]
}

// pause makes the server take no request of this host until a time. A shorter pause does not end a longer one.
func (p *pacer) pause(until time.Time) {
	for {
		current := p.pausedUntil.Load()
		if current != nil && !until.After(*current) || p.pausedUntil.CompareAndSwap(current, &until) {
			return
		}
	}
}

// pauseLeft returns how long the server takes no request of this host.
func (p *pacer) pauseLeft(now time.Time) time.Duration {
	until := p.pausedUntil.Load()
	if until == nil {
		return 0
	}
	return max(until.Sub(now), 0)
}

// Paused reports whether the server has refused a request of this host and wants none for some time.
func (s *Server) Paused(now time.Time) bool { return s.pacer.pauseLeft(now) > 0 }

// Limited reports whether the server states a limit.
func (s *Server) Limited() bool {
	received := s.notice.Load()
	return received != nil && received.Limited
}

// Available reports whether this host may send a request to the server now.
func (s *Server) Available(now time.Time) bool { return s.AvailableIn(now) == 0 }

// AvailableIn returns how long until this host may send a request to the server; zero means now.
func (s *Server) AvailableIn(now time.Time) time.Duration {
	p := &s.pacer
	if left := p.pauseLeft(now); left > 0 {
		return left
	}
	notice := s.Notice()
	if !notice.Limited {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refill(s.Name, notice.Limit, now)
	switch {
	case p.tokens >= 1:
		return 0
	case p.share.PerSecond == 0:
		return p.shareUntil.Sub(now)
	default:
		return max(time.Duration((1-p.tokens)/p.share.PerSecond*float64(time.Second)), 1)
	}
}

// TakeToken reports whether this host may send a request to the server now, and counts it against its share.
func (s *Server) TakeToken(now time.Time) bool {
	p := &s.pacer
	if p.pauseLeft(now) > 0 {
		return false
	}
	notice := s.Notice()
	if !notice.Limited {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refill(s.Name, notice.Limit, now)
	if p.tokens < 1 {
		return false
	}
	p.tokens--
	return true
}

// ReturnToken undoes TakeToken for a request that was not sent.
func (s *Server) ReturnToken() {
	p := &s.pacer
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tokens = min(p.tokens+1, p.share.Burst)
}

// refill adds the tokens since the last call. A new share starts with as much time of it as the last one had left.
func (p *pacer) refill(server broker.ServerName, rate float64, now time.Time) {
	elapsed := now.Sub(p.refilledAt).Seconds()
	if divider := p.divider.Load(); rate != p.rate || divider != p.usedBy || !now.Before(p.shareUntil) {
		previous := p.share
		p.share, p.shareUntil = broker.RateShare{PerSecond: rate, Burst: max(1, rate)}, now.Add(time.Minute)
		if divider != nil {
			p.share, p.shareUntil = divider.Share(server, rate, now)
		}
		switch {
		case previous.PerSecond == 0:
			p.tokens, elapsed = 0, 0
		case p.share.PerSecond < previous.PerSecond:
			p.tokens *= p.share.PerSecond / previous.PerSecond
		}
		p.rate, p.usedBy = rate, divider
	}
	p.refilledAt = now
	p.tokens = min(p.tokens+max(elapsed, 0)*p.share.PerSecond, p.share.Burst)
}
