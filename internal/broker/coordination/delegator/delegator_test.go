package delegator

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
)

var epoch = time.Unix(1_800_000_000, 0)

func host(number byte, zone string) broker.HostRecord {
	return broker.HostRecord{
		Name: zone + string('0'+number), Zone: zone, Process: "p",
		Peer: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, number}), 7380),
	}
}

// TestPlan guards against delegations to a host that cannot save traffic between zones, and against sub-requests that
// are in two delegations or in none although a host is there. The load is the first attempts of one scatter.
func TestPlan(t *testing.T) {
	hosts := []broker.HostRecord{host(1, "a"), host(2, "b"), host(3, "c")}
	withoutPeer := host(4, "d")
	withoutPeer.Peer = netip.AddrPort{}
	tests := []struct {
		name    string
		zones   []string
		further []int // positions of hedges and retries
		failed  []broker.HostRecord
		want    map[netip.AddrPort][]int
	}{
		{name: "own zone", zones: []string{"a", "a", "a"}},
		{name: "two zones", zones: []string{"b", "a", "c", "b", "c", "b"},
			want: map[netip.AddrPort][]int{hosts[1].Peer: {0, 3, 5}, hosts[2].Peer: {2, 4}}},
		{name: "hedges and retries", zones: []string{"b", "b", "b", "c", "c"}, further: []int{1, 3},
			want: map[netip.AddrPort][]int{hosts[1].Peer: {0, 2}}},
		{name: "too few", zones: []string{"b", "a", "a"}},
		{name: "zone without a host", zones: []string{"d", "d", "e", "e"}},
		{name: "host that failed", zones: []string{"b", "b", "c", "c"}, failed: hosts[1:2],
			want: map[netip.AddrPort][]int{hosts[2].Peer: {2, 3}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := New("a")
			d.Set(append(slices.Clone(hosts), withoutPeer))
			for _, failed := range tt.failed {
				d.Failed(failed.Peer, epoch)
			}
			if slices.Contains(d.Zones(epoch), "a") {
				t.Error("the own zone has a delegate")
			}
			subRequests := make([]SubRequest, len(tt.zones))
			for i, zone := range tt.zones {
				subRequests[i] = SubRequest{Zone: zone, First: !slices.Contains(tt.further, i)}
			}
			got := make(map[netip.AddrPort][]int)
			for _, group := range d.Plan(subRequests, epoch) {
				got[group.Host] = group.Members
			}
			if len(got) != len(tt.want) {
				t.Errorf("groups: got %v, want %v", got, tt.want)
			}
			for host, want := range tt.want {
				if !slices.Equal(got[host], want) {
					t.Errorf("members at %s: got %v, want %v", host, got[host], want)
				}
			}
		})
	}
}

// TestAvoid guards against a host that is used although it is silent or slow, which costs each request its hedges, and
// against one that is never used again. The load is requests every 50 ms while one host is frozen for 3 s.
func TestAvoid(t *testing.T) {
	d := New("a")
	frozen, other := host(2, "b"), host(3, "c")
	d.Set([]broker.HostRecord{frozen, other})
	const interval, freeze = 50 * time.Millisecond, 3 * time.Second
	delayed := 0
	now := epoch
	for ; now.Before(epoch.Add(freeze)); now = now.Add(interval) {
		if !slices.Contains(d.Zones(now), "c") {
			t.Fatal("a host that answers is avoided")
		}
		if slices.Contains(d.Zones(now), "b") {
			delayed++
			d.Failed(frozen.Peer, now)
		}
	}
	if want := 5; delayed > want {
		t.Errorf("requests that waited for the frozen host: got %d, want at most %d of %d", delayed, want, freeze/interval)
	}
	for ; !slices.Contains(d.Zones(now), "b"); now = now.Add(interval) {
		if now.After(epoch.Add(freeze + maxAvoidTime)) {
			t.Fatalf("the host is avoided %s after it woke up", now.Sub(epoch)-freeze)
		}
	}
	d.Completed(frozen.Peer)
	d.Failed(frozen.Peer, now)
	if now = now.Add(minAvoidTime); !slices.Contains(d.Zones(now), "b") {
		t.Error("a host that answered is avoided for longer than after its first failure")
	}
	d.Answered(frozen.Peer, maxOverhead+time.Millisecond, now)
	if slices.Contains(d.Zones(now), "b") {
		t.Error("a host that adds more than maxOverhead is used")
	}
}

// TestReplacedProcess guards against avoiding the next process at the address of a host that failed.
func TestReplacedProcess(t *testing.T) {
	d := New("a")
	replaced := host(2, "b")
	d.Set([]broker.HostRecord{replaced})
	d.Failed(replaced.Peer, epoch)
	replaced.Process = "next"
	d.Set([]broker.HostRecord{replaced})
	if got, want := d.Zones(epoch), []string{"b"}; !slices.Equal(got, want) {
		t.Errorf("zones: got %v, want %v", got, want)
	}
}

// TestCollector guards against answers that are held back beyond the time until a hedge, or sent one by one before it.
// The load is four answers of a delegation, of which one may be slow or fail.
func TestCollector(t *testing.T) {
	const collect = 6 * time.Millisecond
	type result struct {
		at       time.Duration
		answered bool
	}
	tests := []struct {
		name    string
		results []result
		want    []time.Duration // when messages are sent
	}{
		{name: "all in time", results: []result{{2, true}, {3, true}, {4, true}, {5, true}}, want: []time.Duration{5}},
		{name: "one slow", results: []result{{2, true}, {3, true}, {4, true}, {20, true}}, want: []time.Duration{6, 20}},
		{name: "one fails", results: []result{{2, true}, {3, false}, {4, true}, {5, true}}, want: []time.Duration{3, 5}},
		{name: "two slow", results: []result{{2, true}, {3, true}, {9, true}, {30, true}}, want: []time.Duration{6, 9, 30}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := NewCollector(len(tt.results), epoch.Add(collect))
			var got []time.Duration
			var sendAt time.Time
			flush := func(until time.Time) {
				if !sendAt.IsZero() && !sendAt.After(until) {
					got = append(got, sendAt.Sub(epoch).Truncate(time.Millisecond)/time.Millisecond)
					c.Sent()
					sendAt = time.Time{}
				}
			}
			for _, r := range tt.results {
				now := epoch.Add(r.at * time.Millisecond)
				flush(now.Add(-1))
				sendAt = c.Add(now, r.answered)
				flush(now)
			}
			if !c.Done() || !sendAt.IsZero() {
				t.Error("results wait although all have arrived")
			}
			if !slices.Equal(got, tt.want) {
				t.Errorf("messages at: got %v ms, want %v ms", got, tt.want)
			}
		})
	}
}

// TestCollectTime guards against answers that reach the host that delegated after its hedge is due.
func TestCollectTime(t *testing.T) {
	tests := []struct {
		name                        string
		hedgeAfter, overhead, limit time.Duration
	}{
		{name: "usual", hedgeAfter: 12 * time.Millisecond, overhead: 4 * time.Millisecond, limit: time.Second},
		{name: "hedge before the answer can return", hedgeAfter: 3 * time.Millisecond, overhead: 4 * time.Millisecond},
		{name: "no hedge", limit: 10 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := CollectTime(tt.hedgeAfter, tt.overhead, tt.limit)
			want := tt.limit
			if tt.hedgeAfter > 0 {
				want = max(tt.hedgeAfter-tt.overhead, 0)
			}
			if got < 0 || got > want {
				t.Errorf("collect time: got %v, want 0 to %v", got, want)
			}
		})
	}
}
