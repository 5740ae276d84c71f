package demonstrator

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/joiner"
	"github.com/yuccarock/yuccarock/internal/broker/transport/linker"
	"github.com/yuccarock/yuccarock/internal/loader"
	"github.com/yuccarock/yuccarock/internal/server"
	"github.com/yuccarock/yuccarock/internal/standin/backendserver"
	"github.com/yuccarock/yuccarock/internal/standin/certifier"
	"github.com/yuccarock/yuccarock/internal/standin/storeserver"
	"github.com/yuccarock/yuccarock/internal/tracer"
	"github.com/yuccarock/yuccarock/pkg/caller"
	"github.com/yuccarock/yuccarock/pkg/configurator"
)

// anyPort lets the system choose a free port on the loopback interface.
var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

// node is one running daemon.
type node struct {
	server  *server.Server
	metrics *metrics.Set
	stop    context.CancelFunc
	done    chan error
}

// System is the demonstrated system: store, backend servers and daemons, all over loopback sockets.
type System struct {
	Out io.Writer

	logger    *slog.Logger
	store     *storeserver.Server
	storeURL  string
	storeHTTP *http.Server
	client    broker.Store
	authority *certifier.Authority
	backends  map[broker.ServerName]*backendserver.Server
	specs     []serverSpec
	nodes     map[string]*node
	caller    *caller.Client
	checker   *checker
	load      *load
	loadDone  sync.WaitGroup
	stopLoad  context.CancelFunc
	report    report
}

// New returns a system of which nothing runs yet; results are printed to out.
func New(out io.Writer, logger *slog.Logger) *System {
	return &System{
		Out: out, logger: logger, checker: &checker{}, specs: serverSpecs(),
		backends: make(map[broker.ServerName]*backendserver.Server),
		nodes:    make(map[string]*node),
	}
}

// startBackends starts the stand-ins; a cold one bears coldLimit requests at once.
func (s *System) startBackends() error {
	for i, spec := range s.specs {
		backend, err := backendserver.New(anyPort, backendserver.Settings{
			Name: spec.name, Seed: uint64(i), Shards: []broker.ShardName{spec.shard},
			Faults: backendserver.Faults{
				Slots: slots, Connections: connections,
				ServiceTime: configurator.Duration(serviceTime), Jitter: 0.5,
				StragglerShare: 0.01, StragglerFactor: 20,
				StartCold: true, ColdConcurrency: coldLimit, WarmAfter: coldSuccesses,
				CrashMarker: crashMarker, Snapshots: []broker.Snapshot{firstSnapshot}, Partitioning: partitioning,
			},
		})
		if err != nil {
			return &Error{Op: "start backend server " + string(spec.name), Kind: KindSetup, Err: err}
		}
		s.backends[spec.name] = backend
	}
	return nil
}

func (s *System) startNode(ctx context.Context, name, zone string) error {
	fail := func(err error) error { return &Error{Op: "start node " + name, Kind: KindSetup, Err: err} }
	keys, err := s.authority.Issue(name)
	if err != nil {
		return fail(err)
	}
	identity, err := linker.ParseIdentity(keys.CertificatePEM, keys.KeyPEM, s.authority.PEM())
	if err != nil {
		return fail(err)
	}
	settings := loader.Defaults()
	settings.Node, settings.Zone, settings.Entry, settings.Peer = name, zone, anyPort, anyPort
	set := metrics.NewSet()
	store, err := server.OpenStore(s.storeURL, set)
	if err != nil {
		return fail(err)
	}
	daemon, err := server.New(server.Dependencies{
		Settings: settings, Store: store, Credentials: linker.NewKeyring(identity),
		Tracer: tracer.Disabled(), Metrics: set, Logger: s.logger,
	})
	if err != nil {
		return fail(err)
	}
	running, stop := context.WithCancel(ctx)
	n := &node{server: daemon, metrics: set, stop: stop, done: make(chan error, 1)}
	go func() { n.done <- daemon.Run(running, context.Background()) }()
	s.nodes[name] = n
	return nil
}

// put writes a changed configuration and returns its revision.
func (s *System) put(ctx context.Context, change func(*configurator.Config) error) (broker.Revision, error) {
	object, err := s.client.Get(ctx, joiner.ConfigKey)
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
	version, err := s.client.Put(ctx, joiner.ConfigKey, value, object.Version)
	return broker.Revision(version), errors.Wrap(err, "could not submit the configuration")
}

// until waits for a state of the system.
func (s *System) until(ctx context.Context, what string, limit time.Duration, reached func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for !reached() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return &Error{Op: "reach: " + what, Kind: KindTimeout, Err: errors.Errorf("not within %s", limit)}
		}
	}
	return nil
}

// inForce returns whether every node has the revision.
func (s *System) inForce(revision broker.Revision) func() bool {
	return func() bool {
		for _, n := range s.nodes {
			if n.server.Status().Revision < revision {
				return false
			}
		}
		return true
	}
}

// pause lets the load run for a while.
func pause(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// close stops the daemons in the planned way, and then the stand-ins.
func (s *System) close() error {
	if s.stopLoad != nil {
		s.stopLoad()
		s.loadDone.Wait()
	}
	for _, n := range s.nodes {
		n.stop()
	}
	var first error
	for name, n := range s.nodes {
		if err := <-n.done; err != nil && first == nil {
			first = errors.Wrapf(err, "could not stop node %s", name)
		}
	}
	for _, backend := range s.backends {
		backend.Kill()
	}
	if s.storeHTTP != nil {
		_ = s.storeHTTP.Close()
	}
	return first
}

// openStore serves the stand-in of the platform's store on a free port.
func (s *System) openStore() error {
	fail := func(err error) error { return &Error{Op: "start the store", Kind: KindSetup, Err: err} }
	socket, err := net.Listen("tcp", anyPort.String())
	if err != nil {
		return fail(err)
	}
	s.store = storeserver.New(server.Clock{})
	s.storeHTTP = &http.Server{Handler: s.store, ReadHeaderTimeout: time.Second}
	go func() { _ = s.storeHTTP.Serve(socket) }()
	s.storeURL = "http://" + socket.Addr().String()
	if s.client, err = server.OpenStore(s.storeURL, metrics.NewSet()); err != nil {
		return fail(err)
	}
	return nil
}
