package requester

import (
	"context"
	"net"
	"net/http"
	"time"
)

// idleTimeout is how long an idle connection to a host is kept.
const idleTimeout = 30 * time.Second

// Options are what the clients differ in.
type Options struct {
	// MaxIdleConnections is the number of idle connections kept to each host.
	MaxIdleConnections int
	// MaxHeaderBytes is the maximum size of the header of an answer.
	MaxHeaderBytes int64
	// Compress accepts compressed answers.
	Compress bool
	// Dial opens connections; nil selects the default dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// New returns a client for requests to other hosts. To it, a redirection is the answer: no host sends one, but another
// process may have the address of a host by now.
func New(options Options) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext: options.Dial, MaxIdleConnsPerHost: options.MaxIdleConnections, IdleConnTimeout: idleTimeout,
			DisableCompression: !options.Compress, MaxResponseHeaderBytes: options.MaxHeaderBytes,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
