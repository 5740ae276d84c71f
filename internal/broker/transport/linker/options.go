package linker

import (
	"cmp"
	"net"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/quic-go/quic-go"
)

// Defaults of Options.
const (
	// DefaultKeepAlive is the interval between keep-alive packets; two may be lost within the idle timeout.
	DefaultKeepAlive = 300 * time.Millisecond
	// DefaultIdleTimeout is the time without packets after which a link is closed. An owner is excluded after 2 s
	// without a heartbeat, so a silent link must be detected and replaced sooner.
	DefaultIdleTimeout = time.Second
	// DefaultMinBackoff and DefaultMaxBackoff bound the delay between two attempts to dial the same peer.
	DefaultMinBackoff = 50 * time.Millisecond
	DefaultMaxBackoff = time.Second
	// DefaultFallbackDelay is how long the node whose ID sorts second waits for the other to dial.
	DefaultFallbackDelay = time.Second
	// DefaultQueueMessages and DefaultQueueBytes bound the messages and bytes queued for one stream of a link.
	DefaultQueueMessages = 4096
	DefaultQueueBytes    = 4 << 20
	// DefaultLargeMessages bounds the messages being sent on streams of their own, for each link and direction.
	DefaultLargeMessages = 8
)

const (
	initialStreamWindow = 256 << 10
	maxStreamWindow     = 512 << 10
	// connectionWindow exceeds the sum of all stream windows, so that streams that are not being read cannot use up
	// the flow-control credit of the control stream.
	connectionWindow = (DefaultLargeMessages + uint64(longLivedStreams) + 1) * maxStreamWindow
)

// Options are the settings of a linker; a zero field takes its default.
type Options struct {
	KeepAlive     time.Duration
	IdleTimeout   time.Duration
	MinBackoff    time.Duration
	MaxBackoff    time.Duration
	FallbackDelay time.Duration
	QueueMessages int
	QueueBytes    int
	// WrapSocket wraps the UDP socket, so that tests can drop packets; if nil, the socket is used directly.
	WrapSocket func(*net.UDPConn) net.PacketConn
}

func (o Options) withDefaults() Options {
	o.KeepAlive = cmp.Or(o.KeepAlive, DefaultKeepAlive)
	o.IdleTimeout = cmp.Or(o.IdleTimeout, DefaultIdleTimeout)
	o.MinBackoff = cmp.Or(o.MinBackoff, DefaultMinBackoff)
	o.MaxBackoff = cmp.Or(o.MaxBackoff, DefaultMaxBackoff)
	o.FallbackDelay = cmp.Or(o.FallbackDelay, DefaultFallbackDelay)
	o.QueueMessages = cmp.Or(o.QueueMessages, DefaultQueueMessages)
	o.QueueBytes = cmp.Or(o.QueueBytes, DefaultQueueBytes)
	return o
}

// newBackoff returns an exponential backoff whose delays are randomized by half of their mean and stay between
// MinBackoff and MaxBackoff.
func (o Options) newBackoff() *backoff.ExponentialBackOff {
	return &backoff.ExponentialBackOff{
		InitialInterval:     2 * o.MinBackoff,
		MaxInterval:         o.MaxBackoff * 2 / 3,
		Multiplier:          2,
		RandomizationFactor: 0.5,
	}
}

func (o Options) quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           o.IdleTimeout,
		MaxIdleTimeout:                 o.IdleTimeout,
		KeepAlivePeriod:                o.KeepAlive,
		InitialStreamReceiveWindow:     initialStreamWindow,
		MaxStreamReceiveWindow:         maxStreamWindow,
		InitialConnectionReceiveWindow: connectionWindow,
		MaxConnectionReceiveWindow:     connectionWindow,
		MaxIncomingStreams:             -1, // all streams are unidirectional
		MaxIncomingUniStreams:          DefaultLargeMessages + int64(longLivedStreams),
	}
}
