package limiter

import (
	"net"

	"github.com/VictoriaMetrics/metrics"

	"github.com/yuccarock/yuccarock/internal/broker/state/accountant"
)

// Listener accepts the connections that the account has room for.
type Listener struct {
	net.Listener

	account *accountant.Account
	refused *metrics.Counter
}

// NewListener returns a listener over another one; refused counts the connections that there was no room for.
func NewListener(inner net.Listener, account *accountant.Account, refused *metrics.Counter) *Listener {
	return &Listener{Listener: inner, account: account, refused: refused}
}

// Accept returns the next connection that there is room for and closes the others.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: accepted}
		if c.entry, err = l.account.Open(c.interrupt, c.closeNow); err == nil {
			return c, nil
		}
		l.refused.Inc()
		_ = accepted.Close()
	}
}
