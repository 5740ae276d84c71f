package forwarder

import (
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccarock/yuccarock/internal/broker/transport/limiter"
)

const (
	// headerTimeout, idleTimeout and maxHeaderBytes exceed the limits for callers in current configurations.
	headerTimeout  = 10 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 64 << 10
)

// listeningServer is an HTTP server with its listener, which a planned stop closes first, to keep the open connections.
type listeningServer struct {
	*http.Server
	listener net.Listener
}

func (f *Forwarder) newServer(address netip.AddrPort, handler http.Handler) (*listeningServer, error) {
	listener, err := listen(address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{
		Handler: handler, MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		ErrorLog: slog.NewLogLogger(f.logger.Handler(), slog.LevelWarn),
	}
	limiter.Prepare(server)
	return &listeningServer{
		Server: server, listener: limiter.NewListener(listener, f.account, address == f.settings.Entry, f.meters.connectionsRefused),
	}, nil
}

func (f *Forwarder) serve(server *listeningServer) {
	err := server.Serve(server.listener)
	if err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		f.logger.Error("HTTP server failed", "address", server.listener.Addr(), "error", err)
	}
}

// serveAuxiliary serves readiness, directory, metrics and other hosts, each on its own address.
func (f *Forwarder) serveAuxiliary() ([]*listeningServer, error) {
	endpoints := []struct {
		address netip.AddrPort
		handler http.Handler
	}{
		{f.settings.Readiness, limiter.RefuseBodies(http.HandlerFunc(f.serveReadiness))},
		{f.settings.Directory, limiter.RefuseBodies(f.directory(f.Resolve))},
		{f.settings.Metrics, limiter.RefuseBodies(http.HandlerFunc(f.serveMetrics))},
		{f.settings.Peer, f.servePeers()},
	}
	var servers []*listeningServer
	for _, endpoint := range endpoints {
		if !endpoint.address.IsValid() {
			continue
		}
		server, err := f.newServer(endpoint.address, endpoint.handler)
		if err != nil {
			closeAll(servers)
			return nil, err
		}
		servers = append(servers, server)
		f.tasks.Go(func() { f.serve(server) })
	}
	return servers, nil
}
