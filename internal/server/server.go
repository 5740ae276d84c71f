package server

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/adopter"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/budgeter"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/deduplicator"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/drainer"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/joiner"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/owner"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/quarantiner"
	"github.com/yuccarock/yuccarock/internal/broker/state/holder"
	"github.com/yuccarock/yuccarock/internal/broker/state/indexer"
	"github.com/yuccarock/yuccarock/internal/broker/state/recorder"
	"github.com/yuccarock/yuccarock/internal/broker/state/tracker"
	"github.com/yuccarock/yuccarock/internal/broker/transport/dispatcher"
	"github.com/yuccarock/yuccarock/internal/broker/transport/linker"
	"github.com/yuccarock/yuccarock/internal/broker/transport/listener"
	"github.com/yuccarock/yuccarock/internal/broker/transport/storer"
	"github.com/yuccarock/yuccarock/internal/loader"
	"github.com/yuccarock/yuccarock/internal/tracer"
	"github.com/yuccarock/yuccarock/internal/waiter"
	"github.com/yuccarock/yuccarock/pkg/configurator"
)

const (
	// entriesTimeToLive is how long callers may use an entry list before they request it again.
	entriesTimeToLive = 2 * time.Second
	// transitGrace allows for the transit time of a request whose caller requested the entry list just before a change.
	transitGrace = 500 * time.Millisecond
	// leaveTimeout limits the wait for the store to remove this node from the member list. The handover itself needs only
	// the peers, which exclude a node that is gone.
	leaveTimeout = 5 * time.Second
	// settleDuration is how long after a change of the member list a new owner can start without delay. Before that, it
	// waits until 2.1 s after the list is confirmed, which takes at most two heartbeats, and its servers have no owner.
	settleDuration = 2600 * time.Millisecond
	// settleTimeout limits the wait for settleDuration; it leaves most of the stop deadline for the stop itself.
	settleTimeout = 8 * time.Second
	// announceInterval is how often the states of owned servers are repeated, in case an announcement was lost.
	announceInterval = 5 * time.Second
	// announcementMaxAge is the greatest age of a server's last announcement at which a new owner uses it.
	announcementMaxAge = 10 * time.Second
	// storeConnections is the number of idle connections to keep to the store, for two watches and concurrent calls.
	storeConnections = 4
	storeIdleTimeout = 90 * time.Second
	// maxStoreHeaderBytes is the maximum size of the header of an answer of the store.
	maxStoreHeaderBytes = 64 << 10
	// maxSeenFingerprints limits the number of remembered requests that need no canary.
	maxSeenFingerprints = 1 << 16
)

// Clock is the system clock.
type Clock struct{}

// Now returns the current time with a monotonic reading.
func (Clock) Now() time.Time { return time.Now() }

// Network wraps or replaces network connections, so that tests can lose data; a nil field has no effect.
type Network struct {
	Listener func(net.Listener) net.Listener   // for callers
	Packets  func(*net.UDPConn) net.PacketConn // for peers
	Dial     dialFunc                          // to backend servers
}

type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// Dependencies are the settings and components that a daemon needs.
type Dependencies struct {
	Settings    loader.Settings
	Store       broker.Store
	Credentials linker.Credentials
	Tracer      *tracer.Tracer
	Metrics     *metrics.Set
	Logger      *slog.Logger
	Network     Network
}

// Server is a daemon with the roles entry and owner.
type Server struct {
	settings  loader.Settings
	name      string
	logger    *slog.Logger
	tracer    *tracer.Tracer
	metricSet *metrics.Set
	counters  *counters
	store     broker.Store

	drainer          *drainer.Drainer
	listener         *listener.Listener
	socket           net.Listener
	peers            *peerTransport
	joiner           *joiner.Joiner
	adopter          *adopter.Adopter
	tracker          *tracker.Tracker
	budgets          *budgeter.Budgeter
	quarantine       *quarantiner.Quarantiner
	claims           *deduplicator.Deduplicator
	dispatcher       *dispatcher.Dispatcher
	owner            *owner.Owner
	seenFingerprints *recorder.Recorder[broker.Fingerprint]

	sessions       *pendingSessions
	forwards       *pendingForwards
	sequence       atomic.Uint64
	peerRequests   atomic.Int64              // requests of other nodes in progress on this node
	rejoiningSince atomic.Pointer[time.Time] // since when queries are refused for a new incarnation; else nil
	announcements  *announcements
	unreleased     map[broker.ServerName]broker.ServerState // states of servers lost as planned, for BuildRelease
	liveness       *liveness
	zoneOutSince   atomic.Pointer[time.Time]
	membersSince   atomic.Pointer[time.Time] // when the current member list was adopted
	tasks          sync.WaitGroup
	stopOwner      context.CancelFunc // stops the owner's loop; ownerStopped is closed when it has ended
	ownerStopped   chan struct{}
}

// New returns a daemon with open sockets, on which Run serves; errors are of kind KindListen.
func New(deps Dependencies) (*Server, error) {
	s := &Server{
		settings: deps.Settings, name: deps.Settings.Node,
		logger: deps.Logger.With("node", deps.Settings.Node),
		tracer: deps.Tracer, metricSet: deps.Metrics, store: deps.Store,
		counters:         newCounters(deps.Metrics),
		tracker:          tracker.New(),
		budgets:          budgeter.New(budgeter.DefaultBurst),
		quarantine:       quarantiner.New(quarantiner.DefaultOptions()),
		claims:           deduplicator.New(deduplicator.DefaultOptions()),
		seenFingerprints: recorder.New[broker.Fingerprint](maxSeenFingerprints),
		sessions:         newPendingSessions(),
		forwards:         newPendingForwards(),
		announcements:    newAnnouncements(),
		unreleased:       make(map[broker.ServerName]broker.ServerState),
		liveness:         newLiveness(),
	}
	s.drainer = drainer.New(func(from, to string) {
		s.logger.Info("node state changed", "from", from, "to", to)
	})
	socket, err := listener.Listen(deps.Settings.Entry)
	if err != nil {
		return nil, &Error{Op: "open the entry address", Kind: KindListen, Err: err}
	}
	if deps.Network.Listener != nil {
		socket = deps.Network.Listener(socket)
	}
	s.socket = socket
	entry := socket.Addr().(*net.TCPAddr).AddrPort()
	self := broker.Member{ID: newNodeID(s.name), Zone: deps.Settings.Zone, Entry: entry, Peer: deps.Settings.Peer}
	s.peers = newPeerTransport(deps.Credentials, s, deps.Metrics, s.logger, deps.Network.Packets)
	if err := s.peers.open(self); err != nil {
		_ = socket.Close()
		return nil, &Error{Op: "open the peer address", Kind: KindListen, Err: err}
	}
	self = s.peers.member()
	s.buildComponents(self, deps.Network.Dial)
	return s, nil
}

// buildComponents creates the components that need the identity of this process.
func (s *Server) buildComponents(self broker.Member, dial dialFunc) {
	options := dispatcher.DefaultOptions()
	options.Dial = dial
	s.dispatcher = dispatcher.New(options, s.metricSet)
	s.adopter = adopter.New(configurator.Parse, holder.New[indexer.Table](nil))
	seed := uint64(time.Now().UnixNano())
	s.joiner = joiner.New(joiner.DefaultSettings(s.settings.Cell), self, Clock{}, s.store, s.peers,
		s.adopter, s, s.metricSet, s.logger, seed)
	s.owner = owner.New(owner.DefaultOptions(self.ID), s.dispatcher, s.dispatcher, s.joiner.MayDispatch,
		s.quarantine, Clock{}, owner.Events{StateChanged: s.serverStateChanged, CrashReported: s.serverCrashed}, s.metricSet)
	limits := listener.DefaultLimits()
	limits.MaxBody = s.settings.Limits.MaxBody
	limits.MaxConcurrent = s.settings.Limits.MaxConcurrent
	limits.MaxQueryTime = time.Duration(s.settings.Limits.MaxQueryTime)
	s.listener = listener.New(s, limits, s.metricSet, s.logger)
	s.registerGauges()
}

func newNodeID(name string) broker.NodeID {
	incarnation := uuid.New()
	return broker.NodeID(name + "/" + strconv.FormatUint(uint64(incarnation.ID()), 36))
}

// ID returns the identity of this incarnation.
func (s *Server) ID() broker.NodeID { return s.peers.member().ID }

// Entry returns the TCP address for callers.
func (s *Server) Entry() netip.AddrPort { return s.socket.Addr().(*net.TCPAddr).AddrPort() }

// Peer returns the UDP address for other nodes.
func (s *Server) Peer() netip.AddrPort { return s.peers.member().Peer }

// OpenStore returns a client of the platform's store at a base URL, with its counters in set. A malformed URL is an
// error of kind KindSettings.
func OpenStore(base string, set *metrics.Set) (*storer.Storer, error) {
	parsed, err := url.Parse(base)
	if err != nil {
		return nil, &Error{Op: "open the store", Kind: KindSettings, Err: errors.WithStack(err)}
	}
	transport := &http.Transport{
		MaxIdleConnsPerHost: storeConnections, IdleConnTimeout: storeIdleTimeout, MaxResponseHeaderBytes: maxStoreHeaderBytes,
	}
	return storer.New(parsed, transport, Clock{}, set, storer.Options{}), nil
}

// Run serves until ctx is done, then hands over and finishes requests in progress; it stops at once when force is done.
// Requests that are cut off are an error of kind KindDeadline.
func (s *Server) Run(ctx, force context.Context) error {
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	s.start(work)
	if err := s.drainer.Serve(); err != nil {
		return errors.WithStack(err)
	}
	s.logger.Info("serving", "entry", s.Entry(), "peer", s.peers.member().Peer, "id", s.ID())
	select {
	case <-ctx.Done():
	case <-force.Done():
	}
	s.waitForSettledMembers(force)
	err := s.stop(force)
	stopWork()
	s.tasks.Wait()
	return err
}

// waitForSettledMembers waits until the next owners can start without delay, or for settleTimeout if the member list
// keeps changing.
func (s *Server) waitForSettledMembers(force context.Context) {
	ctx, cancel := context.WithTimeout(force, settleTimeout)
	defer cancel()
	for ctx.Err() == nil {
		since := s.membersSince.Load()
		if since == nil || time.Since(*since) >= settleDuration {
			return
		}
		waiter.Wait(ctx, time.Until(since.Add(settleDuration)))
	}
}

func (s *Server) start(ctx context.Context) {
	s.tasks.Go(func() {
		if err := s.listener.Serve(s.socket); err != nil {
			s.logger.Error("could not serve callers", "error", err)
		}
	})
	s.tasks.Go(func() {
		if err := s.joiner.Run(ctx); err != nil && ctx.Err() == nil {
			s.logger.Error("membership loop failed", "error", err)
		}
	})
	ownerCtx, stopOwner := context.WithCancel(ctx)
	s.stopOwner, s.ownerStopped = stopOwner, make(chan struct{})
	s.tasks.Go(func() {
		defer close(s.ownerStopped)
		s.owner.Run(ownerCtx)
	})
	s.tasks.Go(func() { s.maintain(ctx) })
}

// stop removes this node from the entry list, hands over, finishes requests in progress and closes the sockets. It
// accepts requests for the time to live of the entry list, because callers may use this address until then.
func (s *Server) stop(force context.Context) error {
	if err := s.drainer.Leave(); err != nil {
		return errors.WithStack(err)
	}
	ctx, cancel := context.WithTimeout(force, time.Duration(s.settings.StopDeadline))
	defer cancel()
	left := make(chan struct{})
	leaveCtx, cancelLeave := context.WithTimeout(ctx, leaveTimeout)
	defer cancelLeave()
	s.tasks.Go(func() {
		defer close(left)
		if err := s.joiner.Leave(leaveCtx); err != nil {
			s.logger.Warn("could not hand over before stopping", "error", err)
		}
	})
	waiter.Wait(ctx, entriesTimeToLive+transitGrace)
	s.drainer.Refuse()
	err := s.drainer.Wait(ctx)
	<-left
	s.waitForDispatched(ctx)
	if shutdownErr := s.listener.Shutdown(ctx); err == nil && shutdownErr != nil {
		err = shutdownErr
	}
	_ = s.listener.Close()
	closeCtx, cancelClose := context.WithTimeout(context.Background(), time.Second)
	defer cancelClose()
	s.peers.close(closeCtx)
	if err != nil {
		return &Error{Op: "stop without cutting off requests", Kind: KindDeadline, Err: err}
	}
	return nil
}

// waitForDispatched waits for the sub-requests that other entries have sent to this owner. So that none is dispatched
// meanwhile, it first stops the owner's loop and releases the servers that could not be handed over.
func (s *Server) waitForDispatched(ctx context.Context) {
	s.stopOwner()
	<-s.ownerStopped
	for _, state := range s.owner.States() {
		s.owner.Release(state.Server)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.owner.Wait()
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
