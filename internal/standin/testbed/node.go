package testbed

import (
	"bytes"
	"context"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"

	"github.com/VictoriaMetrics/metrics"

	"github.com/yuccarock/yuccarock/internal/broker/transport/linker"
	"github.com/yuccarock/yuccarock/internal/broker/transport/storer"
	"github.com/yuccarock/yuccarock/internal/loader"
	"github.com/yuccarock/yuccarock/internal/server"
	"github.com/yuccarock/yuccarock/internal/standin/certifier"
	"github.com/yuccarock/yuccarock/internal/tracer"
)

// Node is one running daemon.
type Node struct {
	Name    string
	Server  *server.Server
	Metrics *metrics.Set
	// Network carries all traffic of the daemon.
	Network *Network

	system *System
	stop   context.CancelFunc
	force  context.CancelFunc
	done   chan struct{}
	err    error
}

// StartNode starts a daemon with a certificate of the system's authority.
func (s *System) StartNode(ctx context.Context, name, zone string) (*Node, error) {
	return s.StartNodeWithAuthority(ctx, s.Authority, name, zone)
}

// StartNodeWithAuthority starts a daemon with a certificate of the given authority.
func (s *System) StartNodeWithAuthority(
	ctx context.Context, authority *certifier.Authority, name, zone string,
) (*Node, error) {
	n := &Node{Name: name, Metrics: metrics.NewSet(), Network: newNetwork(), system: s, done: make(chan struct{})}
	if err := n.newServer(authority, zone); err != nil {
		return nil, &Error{Op: "start node " + name, Kind: KindSetup, Err: err}
	}
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	forced, force := context.WithCancel(context.WithoutCancel(ctx))
	n.stop, n.force = stop, force
	go func() {
		defer close(n.done)
		n.err = n.Server.Run(running, forced)
	}()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodes[name] = n
	return n, nil
}

func (n *Node) newServer(authority *certifier.Authority, zone string) error {
	keys, err := authority.Issue(n.Name)
	if err != nil {
		return err
	}
	identity, err := linker.ParseIdentity(keys.CertificatePEM, keys.KeyPEM, authority.PEM())
	if err != nil {
		return err
	}
	settings := loader.Defaults()
	settings.Node, settings.Zone, settings.Entry, settings.Peer = n.Name, zone, anyPort, anyPort
	settings.Seeds = make(map[string]netip.AddrPort)
	for _, other := range n.system.Nodes() {
		settings.Seeds[other.Name] = other.Server.Peer()
	}
	base, err := url.Parse(n.system.StoreURL)
	if err != nil {
		return err
	}
	traces := tracer.Disabled()
	if n.system.Settings.Tracer != nil {
		traces = n.system.Settings.Tracer(n.Name)
	}
	transport := &http.Transport{DialContext: n.Network.dial}
	n.Server, err = server.New(server.Dependencies{
		Settings: settings, Store: storer.New(base, transport, server.Clock{}, n.Metrics, storer.Options{}),
		Credentials: linker.NewMemoryCredentials(identity), Tracer: traces, Metrics: n.Metrics,
		Logger:  n.system.Settings.Logger,
		Network: server.Network{Listener: n.Network.wrapListener, Packets: n.Network.wrapPacketConn, Dial: n.Network.dial},
	})
	return err
}

// Stop starts a planned stop; Wait returns when it is complete.
func (n *Node) Stop() {
	n.remove()
	n.stop()
}

// Kill simulates a crash: the daemon is disconnected first, so that none of its messages arrives any more.
func (n *Node) Kill() {
	n.remove()
	n.Network.Disconnect()
	n.force()
	n.stop()
}

func (n *Node) remove() {
	n.system.mu.Lock()
	defer n.system.mu.Unlock()
	if n.system.nodes[n.Name] == n {
		delete(n.system.nodes, n.Name)
	}
}

// Wait waits until the daemon has stopped and returns its error.
func (n *Node) Wait() error {
	<-n.done
	return n.err
}

// Counter returns the value of a counter of the daemon, or zero if it does not exist.
func (n *Node) Counter(name string) int {
	var text bytes.Buffer
	n.Metrics.WritePrometheus(&text)
	for line := range strings.Lines(text.String()) {
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), name+" "); ok {
			number, err := strconv.Atoi(value)
			if err == nil {
				return number
			}
		}
	}
	return 0
}

// Counter returns the sum of a counter over all running daemons.
func (s *System) Counter(name string) int {
	total := 0
	for _, n := range s.Nodes() {
		total += n.Counter(name)
	}
	return total
}
