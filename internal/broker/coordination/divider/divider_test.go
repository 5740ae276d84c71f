package divider

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/state/indexer"
	"github.com/yuccarock/yuccarock/internal/broker/state/tracker"
	"github.com/yuccarock/yuccarock/pkg/configurator"
)

const (
	// window is the time in which a server that takes a rate of requests may get no more than allowed.
	window = 4 * time.Second
	server = broker.ServerName("s1")
)

func allowed(rate float64) int { return int(1.5*rate*window.Seconds() + 5) }

// pacedHost returns a host's tracker and its record of a server that states a limit.
func pacedHost(divider broker.RateDivider, limit float64, now time.Time) (*tracker.Tracker, *tracker.Server) {
	track := tracker.New()
	track.SetRateDivider(divider)
	track.Adopt(indexer.New(1, &configurator.Config{
		Servers: []configurator.Server{{Name: string(server)}},
		Services: []configurator.Service{{
			Name: "s", Routing: configurator.RoutingScatter, Shards: []configurator.Shard{{Name: "s", Servers: []string{string(server)}}},
		}},
	}))
	paced := track.Server(server)
	paced.ReportNotice(broker.ServerNotice{Limited: true, Limit: limit}, now, now)
	return track, paced
}

// worstWindow returns the most times within a window.
func worstWindow(times []time.Time) int {
	worst := 0
	for first, last := 0, 0; last < len(times); last++ {
		for times[last].Sub(times[first]) >= window {
			first++
		}
		worst = max(worst, last-first+1)
	}
	return worst
}

// TestRate guards against hosts that together send a server more than the rate that it states, and against a rate of
// which little is used. The load is hosts that each would send a request every 4 ms, without and with pauses in which
// they all save up what they may send at once.
func TestRate(t *testing.T) {
	const day, step = 70 * time.Second, 4 * time.Millisecond
	for _, hosts := range []int{1, 3, 6, 13, 64} {
		for _, rate := range []float64{0, 0.3, 1.2, 8, 24.2, 200} {
			for _, idle := range []time.Duration{0, 15 * time.Second} {
				t.Run(fmt.Sprintf("%d hosts, rate %v, idle %s", hosts, rate, idle), func(t *testing.T) {
					started := time.Unix(1_800_000_010, 0)
					names := make([]string, hosts)
					for i := range names {
						names[i] = fmt.Sprintf("host-%02d", i)
					}
					paced := make([]*tracker.Server, hosts)
					for i, name := range names {
						_, paced[i] = pacedHost(New(name, names, nil), rate, started)
						paced[i].TakeToken(started)
					}
					var sent []time.Time
					for now := started.Add(idle); now.Before(started.Add(day)); now = now.Add(step) {
						for _, host := range paced {
							if host.TakeToken(now) {
								sent = append(sent, now)
							}
						}
					}
					if got, want := worstWindow(sent), allowed(rate); got > want {
						t.Errorf("requests in %s: got %d, want at most %d", window, got, want)
					}
					// A server that is new to a host gets its first request after some time.
					if got, want := len(sent), int(rate*(day-idle).Seconds()/2); got < max(want, 1) {
						t.Errorf("requests in %s: got %d, want at least %d", day-idle, got, max(want, 1))
					}
				})
			}
		}
	}
}

// TestRateWhileHostsChange guards against a rate that is exceeded while hosts begin and stop to serve callers, each of
// them seeing the change at another moment.
func TestRateWhileHostsChange(t *testing.T) {
	const day, step, lag = 60 * time.Second, 10 * time.Millisecond, time.Second
	names := []string{"a", "b", "c", "d", "e", "f"}
	for _, rate := range []float64{1.2, 8, 24.2} {
		started := time.Unix(1_800_000_010, 0)
		tracks := make([]*tracker.Tracker, len(names))
		paced := make([]*tracker.Server, len(names))
		for i, name := range names {
			tracks[i], paced[i] = pacedHost(New(name, names[:3], names[3:]), rate, started)
		}
		var sent []time.Time
		for now := started; now.Before(started.Add(day)); now = now.Add(step) {
			elapsed := now.Sub(started)
			for i, name := range names {
				// Three of the hosts serve; one is replaced by another every 5 s. Host i learns of it i/6 s later.
				round := max(int((elapsed-lag*time.Duration(i)/time.Duration(len(names)))/(5*time.Second)), 0)
				serving := make([]string, 0, 3)
				for k := range 3 {
					serving = append(serving, names[(round+k)%len(names)])
				}
				slices.Sort(serving)
				standby := slices.DeleteFunc(slices.Clone(names), func(n string) bool { return slices.Contains(serving, n) })
				if elapsed%(500*time.Millisecond) == 0 {
					tracks[i].SetRateDivider(New(name, serving, standby))
				}
				if paced[i].TakeToken(now) {
					sent = append(sent, now)
				}
			}
		}
		if got, want := worstWindow(sent), allowed(rate); got > want {
			t.Errorf("rate %v: requests in %s: got %d, want at most %d", rate, window, got, want)
		}
	}
}

// TestRateWithManyStandbyHosts guards against hosts in standby, of which a large system has many, that exceed a rate
// together because each of them gets a request now and then.
func TestRateWithManyStandbyHosts(t *testing.T) {
	const day, step = 70 * time.Second, 20 * time.Millisecond
	var serving, standby []string
	for i := range 91 {
		name := fmt.Sprintf("host-%02d", i)
		if i < 3 {
			serving = append(serving, name)
		} else {
			standby = append(standby, name)
		}
	}
	for _, rate := range []float64{0, 1.2, 4.4, 8.3, 24.2} {
		started := time.Unix(1_800_000_010, 0)
		var paced []*tracker.Server
		for _, name := range slices.Concat(serving, standby) {
			_, host := pacedHost(New(name, serving, standby), rate, started)
			paced = append(paced, host)
		}
		var sent []time.Time
		for now := started; now.Before(started.Add(day)); now = now.Add(step) {
			for _, host := range paced {
				if host.TakeToken(now) {
					sent = append(sent, now)
				}
			}
		}
		if got, want := worstWindow(sent), allowed(rate); got > want {
			t.Errorf("rate %v: requests in %s: got %d, want at most %d", rate, window, got, want)
		}
	}
}
