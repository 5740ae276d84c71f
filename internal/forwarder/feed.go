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

func newFeeds(serves func() bool) feeds {
	return feeds{
		catalogs: relayer.NewFeed[*broker.Catalog](serves), servers: relayer.NewFeed[broker.Registration](serves),
		leaving: relayer.NewFeed[struct{}](serves), hosts: relayer.NewFeed[broker.HostRecord](serves),
	}
}

// renewCatalogs records up to which point the configuration is known. The hosts are not polled; that this host reaches
// the store says enough of them, because probes show which are running.
func (f *Forwarder) renewCatalogs(known broker.Knowledge) {
	f.feeds.catalogs.Renew(known)
	if f.relays.Direct() {
		f.feeds.hosts.Renew(broker.Knowledge{Position: broker.Position{Era: known.Era}, At: known.At})
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
