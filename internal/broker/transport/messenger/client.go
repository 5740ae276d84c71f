package messenger

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/requester"
)

const (
	// Path is the HTTP path that delegations are posted to.
	Path = "/delegations"
	// dialTimeout limits how long a connection to a host may take; sending to the servers directly is faster beyond it.
	dialTimeout = 50 * time.Millisecond
	// maxIdleConnections is the number of idle connections kept to each host.
	maxIdleConnections = 16
	// maxResultBytes limits the size of all results of one delegation, and maxHeaderBytes that of the header before them.
	maxResultBytes = 4 << 20
	maxHeaderBytes = 64 << 10
)

// Client sends delegations to other hosts; it implements broker.DelegationSender.
type Client struct {
	client          *http.Client
	sent, received  *metrics.Counter
	hostsNotReached *metrics.Counter
}

var _ broker.DelegationSender = (*Client)(nil)

// NewClient returns a client with its metrics in set.
func NewClient(set *metrics.Set) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{
		client: requester.New(requester.Options{
			MaxIdleConnections: maxIdleConnections, MaxHeaderBytes: maxHeaderBytes, Dial: dialer.DialContext,
		}),
		sent:            set.GetOrCreateCounter(`yuccarock_cross_zone_bytes_total{cause="delegation",direction="sent"}`),
		received:        set.GetOrCreateCounter(`yuccarock_cross_zone_bytes_total{cause="delegation",direction="received"}`),
		hostsNotReached: set.GetOrCreateCounter("yuccarock_delegations_failed_total"),
	}
}

// Send sends a delegation; an error is of type *Error, with KindRefused if the host has not run any of it.
func (c *Client) Send(
	ctx context.Context, host netip.AddrPort, delegation *broker.Delegation, deliver func(*broker.PartResults),
) (sent bool, err error) {
	op := "delegate to " + host.String()
	body, err := encMode.Marshal(delegation)
	if err != nil {
		return false, &Error{Op: op, Kind: KindMalformed, Err: errors.WithStack(err)}
	}
	var wrote atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteHeaders: func() { wrote.Store(true) }})
	request, err := http.NewRequestWithContext(traced, http.MethodPost, "http://"+host.String()+Path, bytes.NewReader(body))
	if err != nil {
		return false, &Error{Op: op, Kind: KindMalformed, Err: errors.WithStack(err)}
	}
	request.Header["User-Agent"] = nil
	response, err := c.client.Do(request)
	if err != nil {
		c.hostsNotReached.Inc()
		return wrote.Load(), &Error{Op: op, Kind: KindUnreachable, Err: errors.WithStack(err)}
	}
	defer func() { _ = response.Body.Close() }()
	c.sent.Add(len(body))
	if response.StatusCode != http.StatusOK {
		c.hostsNotReached.Inc()
		return false, &Error{Op: op, Kind: KindRefused, Err: errors.New(response.Status)}
	}
	return true, c.readResults(op, response.Body, len(delegation.Servers), deliver)
}

// readResults delivers the results until there is one for each of the sub-requests.
func (c *Client) readResults(op string, body io.Reader, subRequests int, deliver func(*broker.PartResults)) error {
	decoder := decMode.NewDecoder(io.LimitReader(body, maxResultBytes))
	defer func() { c.received.Add(decoder.NumBytesRead()) }()
	seen := make([]bool, subRequests)
	for outstanding := subRequests; outstanding > 0; {
		results := &broker.PartResults{}
		if err := decoder.Decode(results); err != nil {
			return &Error{Op: op, Kind: KindUnreachable, Err: errors.WithStack(err)}
		}
		for i := range results.Parts {
			position := results.Parts[i].Position
			if position < 0 || position >= subRequests || seen[position] {
				return &Error{Op: op, Kind: KindMalformed, Err: errors.Errorf("unexpected result of sub-request %d", position)}
			}
			seen[position] = true
			outstanding--
		}
		deliver(results)
	}
	// The end of the body has to be read for the connection to be kept.
	_, _ = io.CopyN(io.Discard, body, 1)
	return nil
}
