package forwarder

import (
	"net/http"

	"github.com/yuccarock/yuccarock/internal/broker/coordination/relayer"
	"github.com/yuccarock/yuccarock/internal/broker/transport/messenger"
)

// servePeers returns the handler for requests of other hosts.
func (f *Forwarder) servePeers() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+relayer.Path(""), f.feeds.handler())
	mux.HandleFunc("POST "+crashesPath, f.quarantine.serveReports)
	mux.HandleFunc("GET "+quarantinePath, f.quarantine.serveList)
	mux.Handle("POST "+messenger.Path, messenger.NewHandler(f.runDelegation, f.set, f.logger))
	return mux
}
