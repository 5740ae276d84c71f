package forwarder

import (
	"net/http"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/relayer"
)

// Names of the collections in logs, metrics and feed paths.
const (
	feedCatalogs = "configuration"
	feedServers  = "servers"
	feedLeaving  = "zonesToLeave"
	feedHosts    = "hosts"
)

// maxContactAge is how long after its last contact with the store a host still relays collections. It checks the
// configuration for changes every second.
const maxContactAge = 2500 * time.Millisecond

// storeContact returns when the store last answered about the configuration.
type storeContact struct{ last func() time.Time }

// feeds are the collections that this host relays to others.
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

// hasFreshContact reports whether this host follows the store itself and reached it within maxContactAge.
func (f *Forwarder) hasFreshContact() bool {
	contact := f.contact.Load()
	return contact != nil && f.relays.Direct() && time.Since(contact.last()) < maxContactAge
}
