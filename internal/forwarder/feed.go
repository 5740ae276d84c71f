package forwarder

import (
	"net/http"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/relayer"
)

// Names of the collections, in logs, metrics and feeds.
const (
	feedCatalogs = "configuration"
	feedServers  = "servers"
	feedLeaving  = "zonesToLeave"
	feedHosts    = "hosts"
)

// staleContact is how long after its last contact with the store a host still passes collections on. Polls of the
// configuration are made every second.
const staleContact = 2500 * time.Millisecond

// contact tells when this host last had an answer on the configuration.
type contact struct{ last func() time.Time }

// feeds are the collections that this host passes on to others.
type feeds struct {
	catalogs *relayer.Feed[*broker.Catalog]
	servers  *relayer.Feed[broker.Registration]
	leaving  *relayer.Feed[struct{}]
	hosts    *relayer.Feed[broker.HostRecord]
}

func newFeeds(fresh func() bool) feeds {
	return feeds{
		catalogs: relayer.NewFeed[*broker.Catalog](fresh), servers: relayer.NewFeed[broker.Registration](fresh),
		leaving: relayer.NewFeed[struct{}](fresh), hosts: relayer.NewFeed[broker.HostRecord](fresh),
	}
}

func (f feeds) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+relayer.Path(feedCatalogs), f.catalogs)
	mux.Handle("GET "+relayer.Path(feedServers), f.servers)
	mux.Handle("GET "+relayer.Path(feedLeaving), f.leaving)
	mux.Handle("GET "+relayer.Path(feedHosts), f.hosts)
	return mux
}

// fresh returns whether this host follows the store itself and has reached it lately.
func (f *Forwarder) fresh() bool {
	held := f.contact.Load()
	return held != nil && f.relays.Direct() && time.Since(held.last()) < staleContact
}
