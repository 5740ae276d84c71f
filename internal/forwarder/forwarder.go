package forwarder

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/budgeter"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/delegator"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/divider"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/drainer"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/follower"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/prober"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/relayer"
	"github.com/yuccarock/yuccarock/internal/broker/state/accountant"
	"github.com/yuccarock/yuccarock/internal/broker/state/registrar"
	"github.com/yuccarock/yuccarock/internal/broker/state/tracker"
	"github.com/yuccarock/yuccarock/internal/broker/transport/dispatcher"
	"github.com/yuccarock/yuccarock/internal/broker/transport/messenger"
	"github.com/yuccarock/yuccarock/internal/logger"
	"github.com/yuccarock/yuccarock/internal/tracer"
	"github.com/yuccarock/yuccarock/internal/waiter"
)

const (
	// finishReserve is the part of the stop deadline that is reserved for requests in progress.
	finishReserve = 1500 * time.Millisecond
	// refusalFlushTime is how long refusals may take to be sent after the last request in progress has ended.
	refusalFlushTime = 100 * time.Millisecond
	// answerCheckInterval is the pause between two checks whether all answers have been sent.
	answerCheckInterval = 5 * time.Millisecond
	// lookUpFlushTime is how long a resolver that stops answers look-ups on connections that are open.
	lookUpFlushTime = 500 * time.Millisecond
	// quietPeriod is the time without a request after which callers are assumed to have left this host.
	quietPeriod = 500 * time.Millisecond
	// expireInterval is the pause between checks for servers whose entries did not reappear in the store.
	expireInterval = 500 * time.Millisecond
	// The longest wait of one watch is watchHistoryShare of the time for which the store keeps its history, because its
	// start revision grows older meanwhile. Keep-alive probes detect a silent connection earlier.
	watchHistoryShare = 0.75
	// watchPause limits the store calls during many consecutive changes of the configuration, and serversPause while many
	// servers register; requests must leave a draining server within 3 s.
	watchPause   = 50 * time.Millisecond
	serversPause = 400 * time.Millisecond
	// pollWait is the wait of one poll, a cheap check of a collection for changes. A watch that misses events must be
	// detected, and the collection read again, within the 3 s in which a configuration must be in force and requests must
	// leave a draining server.
	pollWait = 500 * time.Millisecond
	// serverListName is the name of the stored list of servers, and serverListInterval the pause between checks whether it
	// is out of date.
	serverListName     = "servers"
	serverListInterval = time.Second
	// writeTimeout limits one write of this host to the store, or one read of its own objects.
	writeTimeout = 1500 * time.Millisecond
)

// Sources are the collections of the platform's store.
type Sources struct {
	Catalogs broker.Source[*broker.Catalog] // has the newest configuration as its only item
	Servers  broker.Source[broker.Registration]
	Leaving  broker.Source[struct{}] // one item per availability zone to leave, by zone name
	Hosts    broker.Collection[broker.HostRecord]
	// Lists holds one list of servers, named serverListName.
	Lists broker.Collection[broker.ServerList]
	// Eras tracks the era of the store; nil if nothing reads it.
	Eras *follower.Eras
}

// Dependencies are what a host is built from.
type Dependencies struct {
	Settings Settings
	Sources  Sources
	Codec    broker.Codec
	// Directory returns the handler that tells callers which hosts to use.
	Directory func(resolve Resolve) http.Handler
	// Probe asks another host whether it takes requests.
	Probe   prober.Check
	Tracer  *tracer.Tracer
	Metrics *metrics.Set
	Logger  *slog.Logger
	// Dial opens connections to backend servers; nil means the default dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Forwarder is one entry host.
type Forwarder struct {
	settings          Settings
	sources           Sources
	codec             broker.Codec
	directory         func(resolve Resolve) http.Handler
	tracer            *tracer.Tracer
	set               *metrics.Set
	meters            *meters
	logger            *slog.Logger
	requestLogLimiter *logger.Limiter // limits the log lines of requests that were refused, slow or had failed attempts

	account         *accountant.Account
	evictionLimiter *logger.Limiter // limits the log lines of connections that had to give way

	drainer      *drainer.Drainer
	cutoff       *cutoff
	tracker      *tracker.Tracker
	registrar    *registrar.Registrar
	dispatcher   *dispatcher.Dispatcher
	budgets      *budgeter.Shards
	prober       *prober.Prober
	gate         *follower.Gate
	relays       *relayer.Relays
	delegates    *delegator.Delegates
	messenger    broker.DelegationSender
	isolation    isolation
	load         load
	quarantine   *quarantine
	notices      *notices
	feeds        feeds
	lifetime     addressLifetime
	divided      atomic.Pointer[dividedHosts]
	process      string      // identifies this process
	passesOn     atomic.Bool // other hosts read collections from this one
	hostsKnown   signal      // the registered hosts have been read
	returned     storeReturns
	refreshHosts func() // lists the registered hosts again
	recorded     signal // the store has the record of this host
	work         *workload
	probeNow     chan struct{} // receives when the next round of probes is to begin at once
	probeRounds  *probeRounds
	stopping     atomic.Bool // a planned stop of a resolver has begun
	tasks        sync.WaitGroup

	reloadable  atomic.Pointer[Settings] // settings as last reloaded
	createdAt   time.Time
	lastRequest atomic.Int64 // arrival of the last caller's request, in nanoseconds after createdAt
}

// New returns a host; Run opens its sockets and serves.
func New(deps Dependencies) *Forwarder {
	f := &Forwarder{
		settings: deps.Settings, sources: deps.Sources, codec: deps.Codec, directory: deps.Directory,
		tracer: deps.Tracer, set: deps.Metrics, meters: newMeters(deps.Metrics), logger: deps.Logger,
		requestLogLimiter: logger.NewLimiter(requestLogRate, requestLogBurst),
		evictionLimiter:   logger.NewLimiter(evictionLogRate, evictionLogBurst),
		tracker:           tracker.New(), gate: follower.NewGate(), createdAt: time.Now(),
		work: newWorkload(time.Now()), probeNow: make(chan struct{}, 1), probeRounds: newProbeRounds(), process: uuid.NewString(), hostsKnown: newSignal(), recorded: newSignal(),
	}
	f.reloadable.Store(&deps.Settings)
	f.cutoff = newCutoff()
	f.drainer = drainer.New(func(from, to string) {
		f.logger.Info("node state changed", "from", from, "to", to)
	})
	options := dispatcher.DefaultOptions()
	options.Dial = deps.Dial
	shares := deps.Settings.Shares()
	options.LimitMemory(shares.Answers)
	options.MaxConnections = shares.Backends
	f.account = accountant.New(shares, f.evicted)
	f.dispatcher = dispatcher.New(options, f.set)
	f.registrar = registrar.New(f.tracker, f.dispatcher, deps.Settings.Zone, deps.Settings.Zones)
	if f.settings.resolvesOnly() {
		f.registrar.SetRole(registrar.RoleStandby)
	}
	f.budgets = budgeter.NewShards(budgeter.HostShare(deps.Settings.RetryShare), retryAllotment(deps.Settings, 0))
	if deps.Settings.FirstStart {
		f.budgets.SetFirstStart()
	}
	f.delegates, f.messenger = delegator.New(deps.Settings.Zone), messenger.NewClient(f.set)
	f.relays = relayer.NewRelays()
	f.relays.SetFallbacks(deps.Settings.Seeds)
	f.feeds = newFeeds(f.relaysCollections)
	f.quarantine = newQuarantine(f.set, f.logger)
	f.notices = newNotices(f.set, f.logger, f.tracker.CountNotices)
	if f.sources.Eras == nil {
		f.sources.Eras = follower.NewEras()
	}
	f.returned.notify, f.refreshHosts = make(chan struct{}, 1), func() {}
	f.set.NewGauge("yuccarock_inbound_connections", func() float64 { return float64(f.account.Connections()) })
	f.set.NewGauge("yuccarock_request_memory_bytes", func() float64 { return float64(f.account.Used()) })
	f.set.NewGauge("yuccarock_store_era", func() float64 { return float64(f.returned.era.Load()) })
	f.set.NewGauge("yuccarock_serving_hosts", func() float64 { return float64(len(f.serving())) })
	f.set.NewGauge("yuccarock_wanted_cores", f.load.wantedCapacity)
	f.prober = prober.New(deps.Probe, prober.Options{
		Self: deps.Settings.Node, Timeout: prober.DefaultTimeout,
	}, f.set, f.logger)
	return f
}

// Run serves until ctx ends and then stops gracefully; the end of force stops immediately.
func (f *Forwarder) Run(ctx, force context.Context) error {
	var callers *listeningServer // nil at a resolver
	if !f.settings.resolvesOnly() {
		var err error
		if callers, err = f.newServer(f.settings.Entry, http.HandlerFunc(f.serveCaller)); err != nil {
			return err
		}
	}
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	f.startTasks(work)
	auxiliary, err := f.serveAuxiliary()
	if err != nil {
		return err
	}
	if callers != nil {
		f.tasks.Go(func() { f.serve(callers) })
	}
	if err := f.drainer.Serve(); err != nil {
		closeAll(auxiliary)
		return errors.WithStack(err)
	}
	f.logger.Info("serving", "entry", f.settings.Entry, "zone", f.settings.Zone)
	select {
	case <-ctx.Done():
	case <-force.Done():
	}
	if callers != nil {
		err = f.stop(force, callers)
	} else {
		f.stopResolving(force, auxiliary)
	}
	stopWork()
	closeAll(auxiliary)
	f.tasks.Wait()
	f.logger.Info("stopped", "error", err)
	return err
}

// startTasks starts the followers of the store and the tasks that depend on them.
func (f *Forwarder) startTasks(ctx context.Context) {
	var refresh []func()
	historyGone := func() {
		for _, each := range refresh {
			each()
		}
	}
	watchWait := time.Duration(float64(f.settings.StoreHistory) * watchHistoryShare)
	options := func(pause, poll time.Duration, renewed func(broker.Knowledge)) follower.Options {
		return follower.Options{
			Wait: watchWait, Pause: pause, PollWait: poll, HistoryGone: historyGone, Renewed: renewed, Gate: f.gate,
		}
	}
	catalogs := follower.New(feedCatalogs, relayer.NewSource(feedCatalogs, f.sources.Catalogs, f.relays),
		f.adoptCatalog, options(watchPause, pollWait, f.renewCatalogs), f.set, f.logger)
	servers := follower.New(feedServers, relayer.NewSource(feedServers, f.sources.Servers, f.relays), f.updateServers,
		options(serversPause, pollWait, f.feeds.servers.Renew), f.set, f.logger)
	leaving := follower.New(feedLeaving, relayer.NewSource(feedLeaving, f.sources.Leaving, f.relays), f.updateZonesToLeave,
		options(serversPause, pollWait, f.feeds.leaving.Renew), f.set, f.logger)
	// Probes also show which hosts are running, so hosts need no polls.
	hosts := follower.New(feedHosts, relayer.NewSource[broker.HostRecord](feedHosts, f.sources.Hosts, f.relays),
		f.updateHosts, options(serversPause, 0, f.feeds.hosts.Renew), f.set, f.logger)
	refresh = []func(){catalogs.Refresh, servers.Refresh, leaving.Refresh, hosts.Refresh}
	f.refreshHosts = hosts.Refresh
	f.sources.Eras.OnRise(func(uint64, uint64) { historyGone() })
	tasks := []func(context.Context){
		f.afterHosts(catalogs.Run), f.afterHosts(servers.Run), f.afterHosts(leaving.Run), f.afterRecord(hosts.Run),
		f.probeHosts, f.expireServers,
	}
	if !f.settings.resolvesOnly() {
		tasks = append(tasks, f.maintainServerList, f.maintainHostRecord, f.removeGoneHosts, f.forwardCrashReports)
	}
	for _, run := range tasks {
		f.tasks.Go(func() { run(ctx) })
	}
}

func (f *Forwarder) adoptCatalog(update follower.Update[*broker.Catalog]) {
	f.feeds.catalogs.Publish(update)
	noteEra(f, update)
	for _, item := range update.Items {
		if f.registrar.Adopt(item.Value) {
			f.logger.Info("configuration in force", "version", item.Value.Version, "revision", item.Revision,
				"routes", len(item.Value.Routes), "requestKinds", f.registrar.View().Tracked.Table.KindCount(),
				"services", len(item.Value.Services))
		}
	}
}

func (f *Forwarder) updateServers(update follower.Update[broker.Registration]) {
	f.feeds.servers.Publish(update)
	noteEra(f, update)
	servers := make(map[string]broker.Registration, len(update.Items))
	for name, item := range update.Items {
		servers[name] = item.Value
	}
	f.registrar.SetServers(servers, f.origin(update), time.Now())
	f.logger.Info("registered servers changed", "at", update.Known.Revision, "servers", len(servers), "removed", update.Removed,
		"listed", update.Listed, "gap", update.Gap, "failed", update.Failed)
}

// origin returns how the servers of an update became known. A server that writes its entry each heartbeat can lose it to
// an outage of the store only after two of them, because an entry lives for three.
func (f *Forwarder) origin(update follower.Update[broker.Registration]) registrar.Origin {
	switch {
	case update.Returned:
		return registrar.FromOlderCopy
	case !update.Listed:
		return registrar.FromChanges
	case !update.Failed && update.Gap < 2*f.settings.Heartbeat:
		return registrar.FromListing
	default:
		return registrar.FromListingAfterOutage
	}
}

func (f *Forwarder) updateZonesToLeave(update follower.Update[struct{}]) {
	f.feeds.leaving.Publish(update)
	noteEra(f, update)
	var zones []string
	for name := range update.Items {
		zones = append(zones, name)
	}
	if update.Returned {
		f.registrar.HoldZonesToLeave(time.Now())
	}
	f.registrar.SetZonesToLeave(zones)
	f.logger.Info("zones to leave changed", "at", update.Known.Revision, "zones", zones)
}

// updateHostShare adjusts connections, retry burst, delegates and role to the hosts that serve callers now.
func (f *Forwarder) updateHostShare() {
	serving := f.serving()
	helping := f.zoneDelegates(serving)
	f.registrar.SetHostCount(len(serving))
	f.divideRates(serving)
	f.lifetime.observe(serving, time.Now())
	role := f.ownRole(serving, helping)
	f.registrar.SetRole(role)
	f.updateBudgets(role, len(serving))
	// A host that has not answered lately may be gone, and a delegation to it would take until its dial timeout.
	ready := f.prober.Ready(2 * standbyProbeInterval)
	f.delegates.Set(slices.DeleteFunc(slices.Concat(serving, helping), func(host broker.HostRecord) bool {
		return !ready[host.Name]
	}))
}

// divideRates divides the rates that servers state among the hosts.
func (f *Forwarder) divideRates(serving []broker.HostRecord) {
	names := make([]string, len(serving))
	for i := range serving {
		names[i] = serving[i].Name
	}
	slices.Sort(names)
	var standby []string
	for _, host := range append(f.prober.Known(), f.ownRecord()) {
		if !slices.Contains(names, host.Name) {
			standby = append(standby, host.Name)
		}
	}
	slices.Sort(standby)
	current := f.divided.Load()
	if current == nil || !slices.Equal(current.serving, names) || !slices.Equal(current.standby, standby) {
		f.divided.Store(&dividedHosts{names, standby})
		f.tracker.SetRateDivider(divider.New(f.settings.Node, names, standby))
	}
}

// dividedHosts are the names of the hosts among which the rates of servers are divided.
type dividedHosts struct{ serving, standby []string }

// ownRole returns the role of this host, given the serving hosts and the delegates of zones without one.
func (f *Forwarder) ownRole(serving, helping []broker.HostRecord) registrar.Role {
	self := func(host broker.HostRecord) bool { return host.Name == f.settings.Node }
	switch {
	case slices.ContainsFunc(serving, self):
		return registrar.RoleServing
	case slices.ContainsFunc(helping, self):
		return registrar.RoleDelegate
	default:
		return registrar.RoleStandby
	}
}

// updateBudgets adjusts the budgets for further attempts to this host's role and the number of serving hosts. A host that stops is
// not among those any more, but finishes its requests with the tokens that it has.
func (f *Forwarder) updateBudgets(role registrar.Role, hosts int) {
	f.budgets.SetAllotment(retryAllotment(*f.reloadable.Load(), hosts))
	switch {
	case role == registrar.RoleServing:
		f.budgets.Serve(time.Now())
	case !f.drainer.Leaving():
		f.budgets.Rest()
	}
}

// retryAllotment returns this host's part of the retry slack, which is divided among the serving hosts.
func retryAllotment(settings Settings, hosts int) budgeter.Allotment {
	return budgeter.HostAllotment(settings.RetrySlack, max(hosts, minServingHosts), settings.RetryWindow)
}

// Reload applies the settings that may change while the host runs: the stop deadline, the retry budget and the seeds.
// It reports whether any of them changed.
func (f *Forwarder) Reload(settings Settings) bool {
	current := f.reloadable.Load()
	if current.StopDeadline == settings.StopDeadline && current.RetryShare == settings.RetryShare &&
		current.RetrySlack == settings.RetrySlack && current.RetryWindow == settings.RetryWindow && slices.Equal(current.Seeds, settings.Seeds) {
		return false
	}
	next := *current
	next.StopDeadline, next.Seeds = settings.StopDeadline, settings.Seeds
	next.RetryShare, next.RetrySlack, next.RetryWindow = settings.RetryShare, settings.RetrySlack, settings.RetryWindow
	f.reloadable.Store(&next)
	f.budgets.SetShare(budgeter.HostShare(next.RetryShare))
	f.relays.SetFallbacks(f.fallbackAddresses())
	f.updateHostShare()
	return true
}

// expireServers drops servers whose entries did not reappear after an outage of the store.
func (f *Forwarder) expireServers(ctx context.Context) {
	for ctx.Err() == nil {
		pause := expireInterval
		if next := f.registrar.ExpireServers(time.Now()); !next.IsZero() {
			pause = min(pause, time.Until(next))
		}
		waiter.Wait(ctx, max(pause, time.Millisecond))
	}
}
