package testbed

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/joiner"
	"github.com/yuccarock/yuccarock/internal/broker/state/indexer"
	"github.com/yuccarock/yuccarock/internal/server"
	"github.com/yuccarock/yuccarock/internal/standin/backendserver"
	"github.com/yuccarock/yuccarock/internal/standin/certifier"
	"github.com/yuccarock/yuccarock/internal/standin/storeserver"
	"github.com/yuccarock/yuccarock/pkg/caller"
	"github.com/yuccarock/yuccarock/pkg/configurator"
)

const pollInterval = 10 * time.Millisecond

// anyPort is the loopback address with a port that the operating system chooses.
var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

// System is a store, backend servers and daemons that communicate over loopback sockets.
type System struct {
	Settings    Settings
	Store       *storeserver.Server
	StoreURL    string
	StoreClient broker.Store // the store as an operator's client
	Authority   *certifier.Authority
	Backends    map[broker.ServerName]*backendserver.Server
	Specs       []ServerSpec

	storeHTTP *http.Server
	mu        sync.Mutex
	nodes     map[string]*Node
}

// Start starts the store, the backend servers and the daemons, without a configuration.
func Start(ctx context.Context, settings Settings) (*System, error) {
	s := &System{
		Settings: settings, Specs: settings.Specs(),
		Backends: make(map[broker.ServerName]*backendserver.Server),
		nodes:    make(map[string]*Node),
	}
	if err := s.start(ctx); err != nil {
		_ = s.Close()
		return nil, err
	}
	return s, nil
}

func (s *System) start(ctx context.Context) error {
	if err := s.startStore(); err != nil {
		return err
	}
	authority, err := certifier.New("demo")
	if err != nil {
		return &Error{Op: "make keys", Kind: KindSetup, Err: err}
	}
	s.Authority = authority
	for i, spec := range s.Specs {
		backend, err := backendserver.New(anyPort, backendserver.Settings{
			Name: spec.Name, Seed: uint64(i), Shards: []broker.ShardName{spec.Shard}, Faults: s.Settings.backendFaults(),
		})
		if err != nil {
			return &Error{Op: "start backend server " + string(spec.Name), Kind: KindSetup, Err: err}
		}
		s.Backends[spec.Name] = backend
	}
	for _, zone := range s.Settings.Zones {
		for number := range s.Settings.NodesPerZone {
			if _, err := s.StartNode(ctx, fmt.Sprintf("%s%d", zone, number+1), zone); err != nil {
				return err
			}
		}
	}
	return nil
}

// startStore starts the stand-in of the platform's store on a free port.
func (s *System) startStore() error {
	fail := func(err error) error { return &Error{Op: "start the store", Kind: KindSetup, Err: err} }
	socket, err := net.Listen("tcp", anyPort.String())
	if err != nil {
		return fail(err)
	}
	s.Store = storeserver.New(server.Clock{})
	s.storeHTTP = &http.Server{Handler: s.Store, ReadHeaderTimeout: time.Second}
	go func() { _ = s.storeHTTP.Serve(socket) }()
	s.StoreURL = "http://" + socket.Addr().String()
	if s.StoreClient, err = server.OpenStore(s.StoreURL, metrics.NewSet()); err != nil {
		return fail(err)
	}
	return nil
}

// Close stops all daemons concurrently by a planned stop, and then the stand-ins.
func (s *System) Close() error {
	nodes := s.Nodes()
	for _, n := range nodes {
		n.Stop()
	}
	var firstErr error
	for _, n := range nodes {
		if err := n.Wait(); err != nil && firstErr == nil {
			firstErr = errors.Wrapf(err, "could not stop node %s", n.Name)
		}
	}
	s.CloseStandins()
	return firstErr
}

// CloseStandins closes the backend servers and the store.
func (s *System) CloseStandins() {
	for _, backend := range s.Backends {
		backend.Kill()
	}
	if s.storeHTTP != nil {
		_ = s.storeHTTP.Close()
	}
}

// Nodes returns the daemons that have been neither stopped nor killed, sorted by name.
func (s *System) Nodes() []*Node {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.SortedFunc(maps.Values(s.nodes), func(a, b *Node) int { return cmp.Compare(a.Name, b.Name) })
}

// Node returns the daemon of that name, or nil.
func (s *System) Node(name string) *Node {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.nodes[name]
}

// Entries returns the addresses at which the daemons accept callers.
func (s *System) Entries() []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, n := range s.Nodes() {
		addresses = append(addresses, n.Server.Entry())
	}
	return addresses
}

// UpdateConfig applies a change to the stored configuration and returns the new revision.
func (s *System) UpdateConfig(ctx context.Context, change func(*configurator.Config) error) (broker.Revision, error) {
	object, err := s.StoreClient.Get(ctx, joiner.ConfigKey)
	if err != nil {
		return 0, errors.Wrap(err, "could not read the configuration")
	}
	config := &configurator.Config{}
	if object.Version != 0 {
		if config, err = configurator.Parse(object.Value); err != nil {
			return 0, errors.Wrap(err, "could not parse the configuration")
		}
	}
	if err := change(config); err != nil {
		return 0, err
	}
	config.SubmissionID = uuid.Must(uuid.NewV7()).String()
	value, err := configurator.Canonical(config)
	if err != nil {
		return 0, errors.Wrap(err, "could not encode the configuration")
	}
	version, err := s.StoreClient.Put(ctx, joiner.ConfigKey, value, object.Version)
	return broker.Revision(version), errors.Wrap(err, "could not submit the configuration")
}

// SubmitConfig submits the configuration that Settings describe and returns its revision.
func (s *System) SubmitConfig(ctx context.Context) (broker.Revision, error) {
	return s.UpdateConfig(ctx, func(config *configurator.Config) error {
		built, err := s.buildConfig()
		if err != nil {
			return err
		}
		*config = *built
		return nil
	})
}

func (s *System) buildConfig() (*configurator.Config, error) {
	return s.Settings.Config(func(name broker.ServerName) netip.AddrPort { return s.Backends[name].Address() })
}

// ReportShards returns a function that returns the shard of a report.
func (s *System) ReportShards() (func(report *caller.Query) broker.ShardName, error) {
	config, err := s.buildConfig()
	if err != nil {
		return nil, err
	}
	service := indexer.New(0, config).Service(IntakeService)
	return func(report *caller.Query) broker.ShardName { return service.ShardOfKey(report.Key).Name }, nil
}

// SetZone takes a zone out of service or returns it to service.
func (s *System) SetZone(ctx context.Context, zone string, state configurator.ZoneState) (broker.Revision, error) {
	return s.UpdateConfig(ctx, func(config *configurator.Config) error {
		_, err := configurator.SetZone(config, zone, state)
		return err
	})
}

// WaitUntil polls the condition until it holds; after the limit it returns an Error of KindTimeout.
func (s *System) WaitUntil(ctx context.Context, description string, limit time.Duration, reached func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !reached() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return &Error{Op: "reach: " + description, Kind: KindTimeout, Err: errors.Errorf("timed out after %s", limit)}
		}
	}
	return nil
}
