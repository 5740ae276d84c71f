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
	// timeToLive is how long callers keep a resolve answer.
	timeToLive = 2 * time.Second
	// staleGrace covers the way of a request from a caller that resolved just before a change.
	staleGrace = 500 * time.Millisecond
	// leaveLimit bounds the wait for the store to take this node off the member list. The hand-over itself needs the
	// peers only, and they exclude a node that is gone.
	leaveLimit = 5 * time.Second
	// settleTime is how long after a change of the member list a handover takes effect at once: the next owner waits
	// for 2.1 s after the list is confirmed, which takes two heartbeats at most, and a server has no owner meanwhile.
	settleTime = 2600 * time.Millisecond
	// settleLimit bounds the wait for that; it leaves most of the stop deadline for the stop itself.
	settleLimit = 8 * time.Second
	// announceInterval repeats the states of owned servers, which makes good a lost announcement.
	announceInterval = 5 * time.Second
	// announcedFor is how old the last announcement of a server may be for a new owner to trust it.
	announcedFor = 10 * time.Second
	// storeConnections covers two watches and the calls beside them.
	storeConnections = 4
	storeIdle        = 90 * time.Second
	// seenFingerprints bounds the memory of requests that need no canary.
	seenFingerprints = 1 << 16
)

// Clock is the system clock.
type Clock struct{}

// Now returns the current time with a monotonic reading.
func (Clock) Now() time.Time { return time.Now() }

// Network replaces parts of the operating system's network, with which tests lose what is sent; a nil field uses the
// operating system's.
type Network struct {
	Listener func(net.Listener) net.Listener   // for callers
	Packets  func(*net.UDPConn) net.PacketConn // for peers
	Dial     dialFunc                          // to backend servers
}

type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// Dependencies are what a daemon is built from.
type Dependencies struct {
	Settings    loader.Settings
	Store       broker.Store
	Credentials linker.Credentials
	Tracer      *tracer.Tracer
	Metrics     *metrics.Set
	Logger      *slog.Logger
	Network     Network
}

// Server is one daemon with its two roles, entry and owner.
type Server struct {
	settings loader.Settings
	name     string
	logger   *slog.Logger
	tracer   *tracer.Tracer
	set      *metrics.Set
	meters   *meters
	store    broker.Store

	drainer    *drainer.Drainer
	listener   *listener.Listener
	socket     net.Listener
	peers      *peerSwitch
	joiner     *joiner.Joiner
	adopter    *adopter.Adopter
	tracker    *tracker.Tracker
	budgets    *budgeter.Budgeter
	quarantine *quarantiner.Quarantiner
	claims     *deduplicator.Deduplicator
	dispatcher *dispatcher.Dispatcher
	owner      *owner.Owner
	seen       *recorder.Recorder[broker.Fingerprint]

	pending      *pending
	forwards     *forwards
	sequence     atomic.Uint64
	peerWork     atomic.Int64              // requests of other nodes in progress here
	rejoining    atomic.Pointer[time.Time] // since when requests are refused because a new incarnation begins
	announced    *announcements
	leftover     map[broker.ServerName]broker.ServerState // of servers lost in a planned way; for the release that follows
	liveness     *liveness
	zoneOutSince atomic.Pointer[time.Time]
	membersSince atomic.Pointer[time.Time] // when the member list in force was adopted
	tasks        sync.WaitGroup
	stopOwner    context.CancelFunc // ends the owner's ticks; ownerStopped tells when
	ownerStopped chan struct{}
}

// New builds a daemon and opens its sockets; Run serves on them.
func New(deps Dependencies) (*Server, error) {
	s := &Server{
		settings: deps.Settings, name: deps.Settings.Node,
		logger: deps.Logger.With("node", deps.Settings.Node),
		tracer: deps.Tracer, set: deps.Metrics, store: deps.Store,
		meters:     newMeters(deps.Metrics),
		tracker:    tracker.New(),
		budgets:    budgeter.New(budgeter.DefaultBurst),
		quarantine: quarantiner.New(quarantiner.DefaultOptions()),
		claims:     deduplicator.New(deduplicator.DefaultOptions()),
		seen:       recorder.New[broker.Fingerprint](seenFingerprints),
		pending:    newPending(),
		forwards:   newForwards(),
		announced:  newAnnouncements(),
		leftover:   make(map[broker.ServerName]broker.ServerState),
		liveness:   newLiveness(),
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
	s.peers = newPeerSwitch(deps.Credentials, s, deps.Metrics, s.logger, deps.Network.Packets)
	if err := s.peers.open(self); err != nil {
		_ = socket.Close()
		return nil, &Error{Op: "open the peer address", Kind: KindListen, Err: err}
	}
	self = s.peers.member()
	s.build(self, deps.Network.Dial)
	return s, nil
}

// build makes the parts that need the identity of this process.
func (s *Server) build(self broker.Member, dial dialFunc) {
	options := dispatcher.DefaultOptions()
	options.Dial = dial
	s.dispatcher = dispatcher.New(options, s.set)
	s.adopter = adopter.New(configurator.Parse, holder.New[indexer.Table](nil))
	seed := uint64(time.Now().UnixNano())
	s.joiner = joiner.New(joiner.DefaultSettings(s.settings.Cell), self, Clock{}, s.store, s.peers,
		s.adopter, s, s.set, s.logger, seed)
	s.owner = owner.New(owner.DefaultOptions(self.ID), s.dispatcher, s.dispatcher, s.joiner.MayDispatch,
		s.quarantine, Clock{}, owner.Events{StateChanged: s.stateChanged, CrashReported: s.crashed}, s.set)
	limits := listener.DefaultLimits()
	limits.MaxBody = s.settings.Limits.MaxBody
	limits.MaxConcurrent = s.settings.Limits.MaxConcurrent
	limits.MaxQueryTime = time.Duration(s.settings.Limits.MaxQueryTime)
	s.listener = listener.New(s, limits, s.set, s.logger)
	s.observe()
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

// OpenStore returns a client of the platform's store at a base URL; its counters go to set.
func OpenStore(base string, set *metrics.Set) (*storer.Storer, error) {
	parsed, err := url.Parse(base)
	if err != nil {
		return nil, &Error{Op: "open the store", Kind: KindSettings, Err: errors.WithStack(err)}
	}
	transport := &http.Transport{MaxIdleConnsPerHost: storeConnections, IdleConnTimeout: storeIdle}
	return storer.New(parsed, transport, Clock{}, set, storer.Options{}), nil
}

// Run serves until ctx ends and then stops in the planned way; a second end, of force, stops at once.
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
	s.settle(force)
	err := s.stop(force)
	stopWork()
	s.tasks.Wait()
	return err
}

// settle waits until a handover will take effect at once; it gives up where the member list keeps changing.
func (s *Server) settle(force context.Context) {
	ctx, cancel := context.WithTimeout(force, settleLimit)
	defer cancel()
	for ctx.Err() == nil {
		since := s.membersSince.Load()
		if since == nil || time.Since(*since) >= settleTime {
			return
		}
		waiter.Wait(ctx, time.Until(since.Add(settleTime)))
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
			s.logger.Error("membership ended", "error", err)
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

// stop leaves the resolve answer, hands over, finishes what is in progress and closes. Requests are accepted for
// the time to live of the resolve answer, since callers may use this address for so long.
func (s *Server) stop(force context.Context) error {
	if err := s.drainer.Leave(); err != nil {
		return errors.WithStack(err)
	}
	ctx, cancel := context.WithTimeout(force, time.Duration(s.settings.StopDeadline))
	defer cancel()
	left := make(chan struct{})
	leaving, cancelLeaving := context.WithTimeout(ctx, leaveLimit)
	defer cancelLeaving()
	s.tasks.Go(func() {
		defer close(left)
		if err := s.joiner.Leave(leaving); err != nil {
			s.logger.Warn("could not hand over before the stop", "error", err)
		}
	})
	waiter.Wait(ctx, timeToLive+staleGrace)
	s.drainer.Refuse()
	err := s.drainer.Wait(ctx)
	<-left
	s.waitForDispatched(ctx)
	if shutdown := s.listener.Shutdown(ctx); err == nil && shutdown != nil {
		err = shutdown
	}
	_ = s.listener.Close()
	closing, cancelClosing := context.WithTimeout(context.Background(), time.Second)
	defer cancelClosing()
	s.peers.close(closing)
	if err != nil {
		return &Error{Op: "stop without cutting off requests", Kind: KindDeadline, Err: err}
	}
	return nil
}

// waitForDispatched waits for work that other entries have given to this owner. Nothing may be dispatched meanwhile, so
// ticks end, and servers that could not be handed over are given up.
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
