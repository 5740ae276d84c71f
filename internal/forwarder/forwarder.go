package forwarder

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/budgeter"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/drainer"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/follower"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/prober"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/relayer"
	"github.com/yuccarock/yuccarock/internal/broker/state/registrar"
	"github.com/yuccarock/yuccarock/internal/broker/state/tracker"
	"github.com/yuccarock/yuccarock/internal/broker/transport/dispatcher"
	"github.com/yuccarock/yuccarock/internal/logger"
	"github.com/yuccarock/yuccarock/internal/tracer"
	"github.com/yuccarock/yuccarock/internal/waiter"
)

const (
	// timeToLive is how long callers keep a resolve answer; some keep it three times as long.
	timeToLive = time.Second
	// staleCallers is how many times its time to live some callers keep a resolve answer.
	staleCallers = 3
	// finishTime is kept back from the stop deadline for requests in progress.
	finishTime = 1500 * time.Millisecond
	// refusalTime is how long refusals may take to leave after the last request in progress has ended.
	refusalTime = 100 * time.Millisecond
	// quietTime without a request shows that callers have left this host.
	quietTime = 500 * time.Millisecond
	// expireInterval is the pause between looks for servers whose entries did not come back.
	expireInterval = 500 * time.Millisecond
	// historyShare of the time that the store keeps its history is the longest wait of one watch, which starts from a
	// revision that is older after it. Keep-alive probes find a connection that has gone silent earlier.
	historyShare = 0.75
	// watchPause bounds the calls while many changes of the configuration come in a row, and serversPause while many
	// servers register; a draining server has to be left within 3 s.
	watchPause   = 50 * time.Millisecond
	serversPause = 400 * time.Millisecond
	// glanceWait is the wait of one cheap look at a collection. A watch without events has to be found, and the
	// collection read again, within the 3 s in which a configuration has to be in force and a draining server left.
	glanceWait = time.Second
	// listName names the list of servers that the hosts keep, and listInterval is the pause between looks whether it has to
	// be written again.
	listName     = "servers"
	listInterval = time.Second
	// writeTimeout bounds one write of this host, or one reading of its own objects.
	writeTimeout = 1500 * time.Millisecond
	// headerTimeout and idleTimeout are above what the configurations of today allow a caller.
	headerTimeout = 10 * time.Second
	idleTimeout   = 60 * time.Second
	maxHeader     = 64 << 10
)

// Sources are the collections of the platform's store.
type Sources struct {
	Catalogs broker.Source[*broker.Catalog] // the newest configuration is the only item
	Servers  broker.Source[broker.Registration]
	Leaving  broker.Source[struct{}] // named by availability zone
	Hosts    broker.Collection[broker.HostRecord]
	// Lists keeps one list of servers under the name listName.
	Lists broker.Collection[broker.ServerList]
}

// Dependencies are what a host is built from.
type Dependencies struct {
	Settings Settings
	Sources  Sources
	Codec    broker.Codec
	// Directory makes the handler of questions which hosts to use.
	Directory func(resolve Resolve) http.Handler
	// Probe asks another host whether it takes requests.
	Probe   prober.Check
	Tracer  *tracer.Tracer
	Metrics *metrics.Set
	Logger  *slog.Logger
	// Dial opens connections to backend servers; nil uses the operating system's.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Forwarder is one entry host.
type Forwarder struct {
	settings  Settings
	sources   Sources
	codec     broker.Codec
	directory func(resolve Resolve) http.Handler
	tracer    *tracer.Tracer
	set       *metrics.Set
	meters    *meters
	logger    *slog.Logger
	slow      *logger.Limiter // lines of requests that did not go as planned

	drainer    *drainer.Drainer
	tracker    *tracker.Tracker
	registrar  *registrar.Registrar
	dispatcher *dispatcher.Dispatcher
	budgets    *budgeter.Shards
	prober     *prober.Prober
	gate       *follower.Gate
	relays     *relayer.Relays
	isolation  isolation
	load       load
	quarantine *quarantine
	feeds      feeds
	tasks      sync.WaitGroup

	contact     atomic.Pointer[contact]
	tunable     atomic.Pointer[Settings] // the settings that may change while the host runs
	epoch       time.Time
	lastRequest atomic.Int64 // nanoseconds after epoch at which a caller's request arrived
}

// New builds a host; Run opens its sockets and serves.
func New(deps Dependencies) *Forwarder {
	f := &Forwarder{
		settings: deps.Settings, sources: deps.Sources, codec: deps.Codec, directory: deps.Directory,
		tracer: deps.Tracer, set: deps.Metrics, meters: newMeters(deps.Metrics), logger: deps.Logger,
		slow:    logger.NewLimiter(requestLines, requestLineBurst),
		tracker: tracker.New(), gate: follower.NewGate(), epoch: time.Now(),
	}
	f.tunable.Store(&deps.Settings)
	f.drainer = drainer.New(func(from, to string) {
		f.logger.Info("node state changed", "from", from, "to", to)
	})
	options := dispatcher.DefaultOptions()
	options.Dial = deps.Dial
	f.dispatcher = dispatcher.New(options, f.set)
	f.registrar = registrar.New(f.tracker, f.dispatcher, deps.Settings.Zones)
	f.budgets = budgeter.NewShards(budgeter.HostShare(deps.Settings.RetryShare), retryBurst(deps.Settings, 0))
	f.relays = relayer.NewRelays()
	f.relays.SetReserves(deps.Settings.Seeds)
	f.feeds = newFeeds(f.fresh)
	f.quarantine = newQuarantine(f.set, f.logger)
	f.set.NewGauge("yuccarock_serving_hosts", func() float64 { return float64(len(f.serving())) })
	f.set.NewGauge("yuccarock_wanted_cores", f.load.capacity)
	f.prober = prober.New(deps.Probe, prober.Options{
		Self: deps.Settings.Node, Timeout: prober.DefaultTimeout,
	}, f.set, f.logger)
	return f
}

// Run serves until ctx ends and then stops in the planned way; the end of force stops at once.
func (f *Forwarder) Run(ctx, force context.Context) error {
	entry, err := listen(f.settings.Entry)
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler: http.HandlerFunc(f.serveCaller), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeader, ErrorLog: slog.NewLogLogger(f.logger.Handler(), slog.LevelWarn),
	}
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	f.follow(work)
	closeSide, err := f.serveSide()
	if err != nil {
		return err
	}
	f.tasks.Go(func() {
		err := server.Serve(entry)
		// A planned stop closes the socket before the server, to keep the connections.
		if err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			f.logger.Error("could not serve callers", "error", err)
		}
	})
	if err := f.drainer.Serve(); err != nil {
		closeSide()
		return errors.WithStack(err)
	}
	f.logger.Info("serving", "entry", f.settings.Entry, "zone", f.settings.Zone)
	select {
	case <-ctx.Done():
	case <-force.Done():
	}
	err = f.stop(force, server, entry)
	stopWork()
	closeSide()
	f.tasks.Wait()
	f.logger.Info("stopped", "error", err)
	return err
}

// stop leaves the resolve answers, serves callers that still have this host's address, and finishes what is in progress.
func (f *Forwarder) stop(force context.Context, server *http.Server, entry net.Listener) error {
	if err := f.drainer.Leave(); err != nil {
		return errors.WithStack(err)
	}
	ctx, cancel := context.WithTimeout(force, f.tunable.Load().StopDeadline)
	defer cancel()
	f.awaitQuiet(ctx)
	_ = entry.Close()
	f.drainer.Refuse()
	err := f.drainer.Wait(ctx)
	// Closing idle connections any earlier would cut off requests that are on their way on them. Refusals are not counted as
	// in progress and may still be on their way out.
	closing, cancelClosing := context.WithTimeout(force, refusalTime)
	defer cancelClosing()
	_ = server.Shutdown(closing)
	_ = server.Close()
	if err != nil {
		return &Error{Op: "stop without cutting off requests", Kind: KindDeadline, Err: err}
	}
	return nil
}

// awaitQuiet returns once callers have had the time to learn of other hosts and none has sent a request for a while. The
// server is not shut down meanwhile: that closes idle connections on which a request may just have arrived.
func (f *Forwarder) awaitQuiet(ctx context.Context) {
	deadline := f.tunable.Load().StopDeadline
	last := time.Now().Add(deadline - finishTime)
	waiter.Wait(ctx, min(staleCallers*timeToLive, deadline-finishTime))
	for time.Now().Before(last) && ctx.Err() == nil {
		quiet := time.Since(f.epoch) - time.Duration(f.lastRequest.Load())
		if f.drainer.Active() == 0 && quiet >= quietTime {
			return
		}
		waiter.Wait(ctx, max(quietTime-quiet, quietTime/10))
	}
}

// serveSide serves readiness, directory and metrics, each on an address of its own.
func (f *Forwarder) serveSide() (closeAll func(), err error) {
	sides := []struct {
		address netip.AddrPort
		handler http.Handler
	}{
		{f.settings.Readiness, http.HandlerFunc(f.serveReadiness)},
		{f.settings.Directory, f.directory(f.Resolve)},
		{f.settings.Metrics, http.HandlerFunc(f.serveMetrics)},
		{f.settings.Peer, f.servePeers()},
	}
	var servers []*http.Server
	closeAll = func() {
		for _, server := range servers {
			_ = server.Close()
		}
	}
	for _, side := range sides {
		if !side.address.IsValid() {
			continue
		}
		socket, err := listen(side.address)
		if err != nil {
			closeAll()
			return nil, err
		}
		server := &http.Server{
			Handler: side.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
			ErrorLog: slog.NewLogLogger(f.logger.Handler(), slog.LevelWarn),
		}
		servers = append(servers, server)
		f.tasks.Go(func() {
			if err := server.Serve(socket); err != nil && !errors.Is(err, http.ErrServerClosed) {
				f.logger.Error("could not serve", "address", side.address, "error", err)
			}
		})
	}
	return closeAll, nil
}

// follow starts the followers of the store and the work that depends on them.
func (f *Forwarder) follow(ctx context.Context) {
	var refresh []func()
	historyGone := func() {
		for _, each := range refresh {
			each()
		}
	}
	watchWait := time.Duration(float64(f.settings.StoreHistory) * historyShare)
	fast := follower.Options{
		Wait: watchWait, Pause: watchPause, Glance: glanceWait, HistoryGone: historyGone, Gate: f.gate,
	}
	slow := follower.Options{
		Wait: watchWait, Pause: serversPause, Glance: glanceWait, HistoryGone: historyGone, Gate: f.gate,
	}
	catalogs := follower.New(feedCatalogs, relayer.NewSource(feedCatalogs, f.sources.Catalogs, f.relays),
		f.adoptCatalog, fast, f.set, f.logger)
	servers := follower.New(feedServers, relayer.NewSource(feedServers, f.sources.Servers, f.relays), f.register, slow,
		f.set, f.logger)
	leaving := follower.New(feedLeaving, relayer.NewSource(feedLeaving, f.sources.Leaving, f.relays), f.leaveZones, slow,
		f.set, f.logger)
	slow.Glance = 0 // hosts also show by their answers whether they are there
	hosts := follower.New(feedHosts, relayer.NewSource[broker.HostRecord](feedHosts, f.sources.Hosts, f.relays),
		f.learnHosts, slow, f.set, f.logger)
	f.contact.Store(&contact{catalogs.Contact})
	refresh = []func(){catalogs.Refresh, servers.Refresh, leaving.Refresh, hosts.Refresh}
	for _, run := range []func(context.Context){catalogs.Run, servers.Run, leaving.Run, hosts.Run, f.watchHosts, f.expire, f.keepList,
		f.announce, f.removeGone, f.spreadCrashes} {
		f.tasks.Go(func() { run(ctx) })
	}
}

func (f *Forwarder) adoptCatalog(update follower.Update[*broker.Catalog]) {
	f.feeds.catalogs.Publish(update)
	for _, item := range update.Items {
		if f.registrar.Adopt(item.Value) {
			f.logger.Info("configuration in force", "version", item.Value.Version, "revision", item.Revision,
				"routes", len(item.Value.Routes), "services", len(item.Value.Services))
		}
	}
}

func (f *Forwarder) register(update follower.Update[broker.Registration]) {
	f.feeds.servers.Publish(update)
	servers := make(map[string]broker.Registration, len(update.Items))
	for name, item := range update.Items {
		servers[name] = item.Value
	}
	f.registrar.SetServers(servers, update.Listed, time.Now())
	f.logger.Info("registered servers changed", "at", update.At, "servers", len(servers), "removed", update.Removed,
		"listed", update.Listed)
}

func (f *Forwarder) leaveZones(update follower.Update[struct{}]) {
	f.feeds.leaving.Publish(update)
	var zones []string
	for name := range update.Items {
		zones = append(zones, name)
	}
	f.registrar.SetZonesToLeave(zones)
	f.logger.Info("zones to leave changed", "at", update.At, "zones", zones)
}

// share takes this host's part in serving callers from the hosts that are known now.
func (f *Forwarder) share() {
	serving := f.serving()
	f.registrar.SetHostCount(len(serving))
	f.budgets.SetBurst(retryBurst(*f.tunable.Load(), len(serving)))
	f.registrar.SetStandby(!slices.ContainsFunc(serving, func(host broker.HostRecord) bool { return host.Name == f.settings.Node }))
}

// retryBurst returns this host's part of the slack for further attempts, of which so many hosts take theirs.
func retryBurst(settings Settings, hosts int) int {
	return budgeter.HostBurst(settings.RetrySlack, max(hosts, minEntries))
}

// Reload takes settings that may change while the host runs: the stop deadline, the budget for further attempts and the
// seeds. It returns whether any of them changed.
func (f *Forwarder) Reload(settings Settings) bool {
	held := f.tunable.Load()
	if held.StopDeadline == settings.StopDeadline && held.RetryShare == settings.RetryShare &&
		held.RetrySlack == settings.RetrySlack && slices.Equal(held.Seeds, settings.Seeds) {
		return false
	}
	next := *held
	next.StopDeadline, next.Seeds = settings.StopDeadline, settings.Seeds
	next.RetryShare, next.RetrySlack = settings.RetryShare, settings.RetrySlack
	f.tunable.Store(&next)
	f.budgets.SetShare(budgeter.HostShare(next.RetryShare))
	f.relays.SetReserves(f.reserves())
	f.share()
	return true
}

// expire drops servers whose entries did not come back after an outage of the store.
func (f *Forwarder) expire(ctx context.Context) {
	for ctx.Err() == nil {
		pause := expireInterval
		if next := f.registrar.ExpireServers(time.Now()); !next.IsZero() {
			pause = min(pause, time.Until(next))
		}
		waiter.Wait(ctx, max(pause, time.Millisecond))
	}
}

func listen(address netip.AddrPort) (net.Listener, error) {
	socket, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, &Error{Op: "open " + address.String(), Kind: KindListen, Err: err}
	}
	return socket, nil
}
