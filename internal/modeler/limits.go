package modeler

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/divider"
	"github.com/yuccarock/yuccarock/internal/broker/state/indexer"
	"github.com/yuccarock/yuccarock/internal/broker/state/tracker"
	"github.com/yuccarock/yuccarock/pkg/configurator"
)

const (
	// limitDay is the simulated time of each result, of which the first limitSettling is not measured.
	limitDay      = 90 * time.Second
	limitSettling = 4 * time.Second
	// limitWindow is the time in which a server may get limitTolerance times its rate and limitSlack requests.
	limitWindow    = 4 * time.Second
	limitTolerance = 1.5
	limitSlack     = 5
	// limitLearnTime is how long a host may send as before once it knows of a limit.
	limitLearnTime = 500 * time.Millisecond
	// limitAnswerTime is the time until a host knows what the answer to its request states.
	limitAnswerTime = 20 * time.Millisecond
	// Every replacePeriod one of the hosts stops and another starts to serve callers. The hosts learn of it within
	// maxLearnTime, each at another moment.
	replacePeriod = 10 * time.Second
	maxLearnTime  = time.Second

	limitedServer = broker.ServerName("s1")
)

// LimitCase is a server that states a limit to some hosts.
type LimitCase struct {
	Hosts int     // hosts that serve callers
	Limit float64 // requests per second that the server takes
	Load  float64 // requests per second that callers send, as a multiple of Limit
}

// LimitResult is what a server gets that states a limit.
type LimitResult struct {
	LimitCase
	// Used is the share of what could be sent, the load or the limit, that was sent.
	Used float64
	// WorstWindow is the most requests in limitWindow of hosts that knew of the limit, and Allowed how many it may be.
	WorstWindow, Allowed int
	// Uninformed is the number of requests of hosts that did not know of the limit yet.
	Uninformed int
}

// LimitCases returns the cases for the given numbers of hosts: low and high limits, below and above the load.
func LimitCases(hosts []int) []LimitCase {
	var cases []LimitCase
	for _, count := range hosts {
		for _, limit := range []float64{1.2, 24, 200} {
			for _, load := range []float64{0.5, 1, 3} {
				cases = append(cases, LimitCase{Hosts: count, Limit: limit, Load: load})
			}
		}
	}
	return cases
}

// limitHost is one host with its record of the server.
type limitHost struct {
	name    string
	tracker *tracker.Tracker
	server  *tracker.Server
	learnIn time.Duration // how late it learns of changed hosts
	knowsAt time.Duration // when it is bound by the limit; zero before it knows of it
}

func newLimitHost(name string, serving []string, random *rand.Rand) *limitHost {
	h := &limitHost{name: name, tracker: tracker.New(), learnIn: time.Duration(random.Int64N(int64(maxLearnTime)))}
	h.tracker.Adopt(indexer.New(1, &configurator.Config{
		Servers: []configurator.Server{{Name: string(limitedServer)}},
		Services: []configurator.Service{{
			Name: "s", Routing: configurator.RoutingScatter,
			Shards: []configurator.Shard{{Name: "s", Servers: []string{string(limitedServer)}}},
		}},
	}))
	h.server = h.tracker.Server(limitedServer)
	h.tracker.SetRateDivider(divider.New(name, serving, nil))
	return h
}

// limitDayState is the state of one simulated day.
type limitDayState struct {
	LimitCase
	clock  clock
	random *rand.Rand
	hosts  []*limitHost // those that serve, and as many as ever replace one
	first  int          // position of the first serving host
	// sent are the times of requests to the server of hosts that knew of the limit.
	sent       []time.Duration
	uninformed int // requests to the server of other hosts
	measured   int // requests to the server in the measured time
	arrived    int // requests of callers in the measured time
}

// SimulateLimit simulates a day with one seed.
func SimulateLimit(c LimitCase, seed uint64) LimitResult {
	s := &limitDayState{LimitCase: c, random: rand.New(rand.NewPCG(seed, uint64(c.Hosts)))}
	spares := int(limitDay/replacePeriod) + 1
	names := make([]string, c.Hosts+spares)
	for i := range names {
		names[i] = fmt.Sprintf("host-%03d", i)
	}
	for _, name := range names {
		s.hosts = append(s.hosts, newLimitHost(name, names[:c.Hosts], s.random))
	}
	s.clock.after(replacePeriod, s.replaceHost)
	s.clock.after(0, s.arrive)
	s.clock.runUntil(limitDay)
	measured := (limitDay - limitSettling).Seconds()
	possible := min(float64(s.arrived), c.Limit*measured)
	s.sent = slices.DeleteFunc(s.sent, func(at time.Duration) bool { return at < limitSettling })
	return LimitResult{
		LimitCase: c, Used: float64(s.measured) / max(possible, 1), WorstWindow: worstWindow(s.sent),
		Allowed: int(limitTolerance*c.Limit*limitWindow.Seconds() + limitSlack), Uninformed: s.uninformed,
	}
}

// arrive is a caller's request at a random serving host.
func (s *limitDayState) arrive() {
	if s.clock.now >= limitSettling {
		s.arrived++
	}
	host := s.hosts[s.first+s.random.IntN(s.Hosts)]
	sentAt := s.clock.time()
	if host.server.TakeToken(sentAt) {
		if s.clock.now >= limitSettling {
			s.measured++
		}
		if host.knowsAt > 0 && s.clock.now >= host.knowsAt {
			s.sent = append(s.sent, s.clock.now)
		} else {
			s.uninformed++
		}
		s.clock.after(limitAnswerTime, func() {
			if host.knowsAt == 0 {
				host.knowsAt = s.clock.now + limitLearnTime
			}
			host.server.ReportNotice(broker.ServerNotice{Limited: true, Limit: s.Limit}, sentAt, s.clock.time())
		})
	}
	gap := s.random.ExpFloat64() / (s.Limit * s.Load)
	s.clock.after(time.Duration(gap*float64(time.Second)), s.arrive)
}

// replaceHost makes the first serving host stop to serve and another one start.
func (s *limitDayState) replaceHost() {
	s.first++
	serving := make([]string, s.Hosts)
	for i := range serving {
		serving[i] = s.hosts[s.first+i].name
	}
	for _, host := range s.hosts {
		s.clock.after(host.learnIn, func() { host.tracker.SetRateDivider(divider.New(host.name, serving, nil)) })
	}
	s.clock.after(replacePeriod, s.replaceHost)
}

// worstWindow returns the most of the sorted times within limitWindow.
func worstWindow(times []time.Duration) int {
	worst, first := 0, 0
	for last := range times {
		for times[last]-times[first] >= limitWindow {
			first++
		}
		worst = max(worst, last-first+1)
	}
	return worst
}

// WriteLimits writes the results as a table.
func WriteLimits(w io.Writer, results []LimitResult) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "hosts\tlimit a second\tload\tused\tworst window\tallowed\tunknowing\t")
	for _, r := range results {
		_, _ = fmt.Fprintf(table, "%d\t%.1f\t%.1f\t%.2f\t%d\t%d\t%d\t\n", r.Hosts, r.Limit, r.Load, r.Used, r.WorstWindow, r.Allowed,
			r.Uninformed)
	}
	return table.Flush()
}
