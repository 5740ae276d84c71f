package joiner

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/VictoriaMetrics/metrics"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/adopter"
	"github.com/yuccarock/yuccarock/internal/broker/state/holder"
	"github.com/yuccarock/yuccarock/internal/broker/state/indexer"
	"github.com/yuccarock/yuccarock/pkg/configurator"
)

// fakeStore is an in-memory store that can be slow, unavailable or lose replies.
type fakeStore struct {
	mu      sync.Mutex
	objects map[string]broker.Object
	changed chan struct{}
	hosts   []broker.Host
	calls   int
	puts    int

	down      bool
	latency   time.Duration
	watchLag  time.Duration
	loseReply int // number of writes that will take effect but return an error
}

var errDown = errors.New("store is down")

func newFakeStore() *fakeStore {
	return &fakeStore{
		objects: make(map[string]broker.Object), changed: make(chan struct{}), latency: 3 * time.Millisecond,
	}
}

// startCall counts a call, waits for the store's latency and fails while the store is down.
func (s *fakeStore) startCall(ctx context.Context) error {
	s.mu.Lock()
	s.calls++
	latency := s.latency
	s.mu.Unlock()
	select {
	case <-time.After(latency):
	case <-ctx.Done():
		return ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return errDown
	}
	return nil
}

func (s *fakeStore) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) Get(ctx context.Context, key string) (broker.Object, error) {
	if err := s.startCall(ctx); err != nil {
		return broker.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.objects[key], nil
}

func (s *fakeStore) GetNewer(ctx context.Context, key string, version uint64) (broker.Object, error) {
	object, err := s.Get(ctx, key)
	if err != nil || object.Version == version {
		return broker.Object{}, err
	}
	return object, nil
}

func (s *fakeStore) Put(ctx context.Context, key string, value []byte, version uint64) (uint64, error) {
	if err := s.startCall(ctx); err != nil {
		return 0, err
	}
	var err error
	s.set(func() {
		s.puts++
		if s.objects[key].Version != version {
			err = errors.Errorf("version is %d, not %d", s.objects[key].Version, version)
			return
		}
		s.objects[key] = broker.Object{Key: key, Version: version + 1, Value: value}
		if s.loseReply > 0 {
			s.loseReply--
			err = errors.New("reply lost")
		}
	})
	return version + 1, err
}

func (s *fakeStore) Watch(ctx context.Context, key string, version uint64) (broker.Object, error) {
	if err := s.startCall(ctx); err != nil {
		return broker.Object{}, err
	}
	for {
		s.mu.Lock()
		object, changed, down, lag := s.objects[key], s.changed, s.down, s.watchLag+s.latency
		s.mu.Unlock()
		if down {
			return broker.Object{}, errDown
		}
		if object.Version > version {
			select {
			case <-time.After(lag):
				return object, nil
			case <-ctx.Done():
				return broker.Object{}, ctx.Err()
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return broker.Object{}, ctx.Err()
		}
	}
}

func (s *fakeStore) Hosts(ctx context.Context) ([]broker.Host, error) {
	if err := s.startCall(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hosts, nil
}

// network carries messages between joiners with a fixed latency.
type network struct {
	latency  atomic.Int64
	cut      atomic.Pointer[node] // node whose messages are dropped in both directions
	mu       sync.Mutex
	nodes    map[broker.NodeID]*node
	messages atomic.Int64
	bytes    atomic.Int64
	measure  atomic.Bool
}

// node is one joiner on the network; it implements the clock, Peers and Handler of its joiner.
type node struct {
	t        testing.TB
	network  *network
	self     broker.Member
	joiner   *Joiner
	adopter  *adopter.Adopter
	cancel   context.CancelFunc
	mu       sync.Mutex
	owned    map[broker.ServerName]bool
	planned  int
	accepted int
}

func (n *node) Now() time.Time { return time.Now() }

func (n *node) Send(to broker.NodeID, message broker.Message) error {
	n.network.mu.Lock()
	target := n.network.nodes[to]
	from := n.self.ID
	n.network.mu.Unlock()
	if target == nil {
		return errors.Errorf("no link to %s", to)
	}
	if n.network.measure.Load() {
		data, err := cbor.Marshal(message)
		if err != nil {
			n.t.Error(err)
		}
		n.network.messages.Add(1)
		n.network.bytes.Add(int64(len(data)))
	}
	if cut := n.network.cut.Load(); cut != nil && (cut == n || cut == target) {
		return nil
	}
	time.AfterFunc(time.Duration(n.network.latency.Load()), func() { target.joiner.HandleMessage(from, message) })
	return nil
}

func (n *node) ClaimsGained([]ShardID, bool) {}

func (n *node) OwnershipChanged(gained, lost []broker.ServerName, planned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, server := range gained {
		n.owned[server] = true
	}
	for _, server := range lost {
		delete(n.owned, server)
	}
	if planned {
		n.planned += len(gained)
		if n.accepted < n.planned {
			n.t.Errorf("got %d planned servers after the release of %d, want the release first", n.planned, n.accepted)
		}
	}
}

func (n *node) owns() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.owned)
}

func (n *node) BuildRelease(_ []broker.ServerName, claims []ShardID) broker.Release {
	var release broker.Release
	for _, claim := range claims {
		release.Claims = append(release.Claims, broker.ShardClaims{Service: claim.Service, Shard: claim.Shard})
	}
	return release
}

func (n *node) AcceptRelease(_ broker.NodeID, release broker.Release) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.accepted += len(release.Servers)
}

func (n *node) FinishWork(time.Time) bool { return true }

func (n *node) NewIncarnation(previous broker.Member) broker.Member {
	n.network.mu.Lock()
	defer n.network.mu.Unlock()
	delete(n.network.nodes, previous.ID)
	n.self.ID = previous.ID + "'"
	n.network.nodes[n.self.ID] = n
	return n.self
}

func (n *node) TableChanged(*indexer.Table) {}

func (n *node) stop() {
	n.cancel()
	<-n.joiner.stopped
	n.network.mu.Lock()
	defer n.network.mu.Unlock()
	delete(n.network.nodes, n.self.ID)
}

func newNetwork() *network {
	w := &network{nodes: make(map[broker.NodeID]*node)}
	w.latency.Store(int64(time.Millisecond))
	return w
}

func (w *network) start(t testing.TB, store broker.Store, name string, incarnation, index int) *node {
	n := &node{t: t, network: w, owned: make(map[broker.ServerName]bool), self: broker.Member{
		ID:   broker.NodeID(fmt.Sprintf("%s/%d", name, incarnation)),
		Zone: fmt.Sprintf("z%d", index%3),
		Peer: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(index)}), 7000),
	}}
	n.adopter = adopter.New(parse, holder.New[indexer.Table](nil))
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	n.joiner = New(DefaultSettings("c1"), n.self, n, store, n, n.adopter, n, metrics.NewSet(), log, uint64(index))
	ctx, cancel := context.WithCancel(t.Context())
	n.cancel = cancel
	w.mu.Lock()
	var others []broker.NodeID
	for id := range w.nodes {
		others = append(others, id)
	}
	w.nodes[n.self.ID] = n
	w.mu.Unlock()
	go func() { _ = n.joiner.Run(ctx) }()
	for _, id := range others {
		n.joiner.LinkUp(id)
	}
	return n
}

const serverCount = 60

// parse returns a configuration in which zone z0 is out if the value starts with the letter o.
func parse(value []byte) (*configurator.Config, error) {
	if len(value) == 0 {
		return nil, errors.New("empty configuration")
	}
	config := &configurator.Config{Name: string(value)}
	for i := range 3 {
		config.Zones = append(config.Zones, configurator.Zone{Name: fmt.Sprintf("z%d", i), State: configurator.ZoneIn})
	}
	if value[0] == 'o' {
		config.Zones[0].State = configurator.ZoneOut
	}
	for i := range serverCount {
		config.Servers = append(config.Servers, configurator.Server{
			Name: fmt.Sprintf("s%d", i), Zone: fmt.Sprintf("z%d", i%3),
		})
	}
	config.Services = []configurator.Service{{Name: "intake", Shards: []configurator.Shard{{Name: "a"}}}}
	config.RequestKinds = []configurator.RequestKind{{Name: "report", Service: "intake"}}
	return config, nil
}
