package forwarder

import (
	"net/http"

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

// feeds are the collections that this host relays to others.
type feeds struct {
	catalogs *relayer.Feed[*broker.Catalog]
	servers  *relayer.Feed[broker.Registration]
	leaving  *relayer.Feed[struct{}]
	hosts    *relayer.Feed[broker.HostRecord]
}

func newFeeds(followsStore func() bool) feeds {
	return feeds{
		catalogs: relayer.NewFeed[*broker.Catalog](followsStore), servers: relayer.NewFeed[broker.Registration](followsStore),
		leaving: relayer.NewFeed[struct{}](followsStore), hosts: relayer.NewFeed[broker.HostRecord](followsStore),
	}
}

// renewCatalogs records up to which point the configuration is known. The hosts are not polled; that this host reaches
// the store says enough of them, because probes show which are running.
func (f feeds) renewCatalogs(known broker.Knowledge) {
	f.catalogs.Renew(known)
	f.hosts.Renew(broker.Knowledge{At: known.At})
}

func (f feeds) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+relayer.Path(feedCatalogs), f.catalogs)
	mux.Handle("GET "+relayer.Path(feedServers), f.servers)
	mux.Handle("GET "+relayer.Path(feedLeaving), f.leaving)
	mux.Handle("GET "+relayer.Path(feedHosts), f.hosts)
	return mux
}
