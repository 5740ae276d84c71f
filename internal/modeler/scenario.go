package modeler

import (
	"bytes"
	"embed"
	"encoding/json"
	"fmt"
	"os"
	"path"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccarock/yuccarock/pkg/configurator"
)

//go:embed scenarios/*.json
var embeddedScenarios embed.FS

// Scenario describes a simulated system, its workload and its faults.
type Scenario struct {
	Name   string                `json:"name"`
	Length configurator.Duration `json:"length"`
	Zones  []string              `json:"zones"`
	// BetweenZones is the one-way latency between two availability zones; within one it is a tenth of that.
	BetweenZones configurator.Duration `json:"betweenZones"`
	// ToCallers is the part of a caller's latency that is spent outside the host: the network in both directions, and the
	// connection.
	ToCallers configurator.Duration `json:"toCallers"`
	Hosts     int                   `json:"hosts"`  // assigned to the zones in turn
	Shards    int                   `json:"shards"` // each with Replicas servers in different zones
	Replicas  int                   `json:"replicas"`
	Slots     int                   `json:"slots"`
	// Queue is how many requests may wait at a server; it refuses further ones as not run.
	Queue int `json:"queue"`
	// Pause is how long each server stops working once in each Period, at an offset that differs between servers.
	Pause  configurator.Duration `json:"pause"`
	Period configurator.Duration `json:"period"`
	// RetryShare and RetrySlack limit the extra attempts of all hosts together: to a share of the requests for a shard, plus
	// a number within retryWindow.
	RetryShare float64 `json:"retryShare"`
	RetrySlack int     `json:"retrySlack"`
	Kinds      []Kind  `json:"kinds"`
	Faults     []Fault `json:"faults"`
}

// Kind is one kind of request; each request goes to all shards.
type Kind struct {
	Name string  `json:"name"`
	Rate float64 `json:"rate"` // requests per second
	// Work is the mean service time, log-normal with Spread as the standard deviation of its logarithm; a TailShare of the
	// requests takes TailFactor times as long.
	Work       configurator.Duration `json:"work"`
	Spread     float64               `json:"spread"`
	TailShare  float64               `json:"tailShare"`
	TailFactor float64               `json:"tailFactor"`
	// Target is the caller's latency target, and Deadline the time after which it no longer accepts an answer.
	Target      configurator.Duration `json:"target"`
	Deadline    configurator.Duration `json:"deadline"`
	MinCoverage float64               `json:"minCoverage"`
	Attempts    int                   `json:"attempts"`
	// Worth is the value of an answer within the target, and LateWorth the share of it that a later answer has; both are
	// multiplied by the square of the coverage.
	Worth     float64 `json:"worth"`
	LateWorth float64 `json:"lateWorth"`
}

// Kinds of fault.
const (
	FaultServerSlow   = "serverSlow"   // servers take Factor times as long
	FaultServerDown   = "serverDown"   // servers lose their running and queued requests and refuse connections
	FaultServerSilent = "serverSilent" // servers accept requests and never answer
	FaultHostKilled   = "hostKilled"   // hosts lose their requests in progress and are down
)

// Fault is a fault injected at time At for the duration For.
type Fault struct {
	Kind   string                `json:"kind"`
	At     configurator.Duration `json:"at"`
	For    configurator.Duration `json:"for"`
	Share  float64               `json:"share"`  // of the hosts, or of the shards, of which each gets one faulty server
	Factor float64               `json:"factor"` // on service times
}

// Names returns the names of the embedded scenarios.
func Names() []string {
	entries, err := embeddedScenarios.ReadDir("scenarios")
	if err != nil {
		return nil // cannot happen: the directory is embedded
	}
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		names = append(names, strings.TrimSuffix(entry.Name(), ".json"))
	}
	return names
}

// Load reads an embedded scenario by name, or a scenario file by path; it returns an *Error.
func Load(name string) (*Scenario, error) {
	data, err := embeddedScenarios.ReadFile(path.Join("scenarios", name+".json"))
	if err != nil {
		if data, err = os.ReadFile(name); err != nil {
			return nil, &Error{Op: "read the scenario", Kind: KindUnreadable, Err: errors.WithStack(err)}
		}
	}
	return Parse(data)
}

// Parse decodes and validates a scenario; the error lists every invalid field with its path.
func Parse(data []byte) (*Scenario, error) {
	var scenario Scenario
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&scenario); err != nil {
		return nil, &Error{Op: "decode the scenario", Kind: KindInvalid, Err: errors.WithStack(err)}
	}
	if err := scenario.validate(); err != nil {
		return nil, &Error{Op: "accept the scenario", Kind: KindInvalid, Err: err}
	}
	return &scenario, nil
}

// validate returns an error that lists every invalid field with its path.
func (s *Scenario) validate() error {
	var problems []string
	require := func(ok bool, path, rule string, got any) {
		if !ok {
			problems = append(problems, fmt.Sprintf("%s: must be %s, got %v", path, rule, got))
		}
	}
	require(time.Duration(s.Length) >= time.Second, "length", "1 s or more", time.Duration(s.Length))
	require(len(s.Zones) > 0, "zones", "one or more", len(s.Zones))
	counts := []struct {
		path string
		got  int
	}{{"hosts", s.Hosts}, {"shards", s.Shards}, {"replicas", s.Replicas}, {"slots", s.Slots}, {"queue", s.Queue}}
	for _, count := range counts {
		require(count.got > 0, count.path, "above 0", count.got)
	}
	require(s.Pause < s.Period || s.Pause == 0, "pause", "shorter than the period", time.Duration(s.Pause))
	require(len(s.Kinds) > 0, "kinds", "one or more", len(s.Kinds))
	for i := range s.Kinds {
		k, prefix := &s.Kinds[i], fmt.Sprintf("kinds.%d.", i)
		require(k.Name != "", prefix+"name", "set", k.Name)
		require(k.Rate > 0, prefix+"rate", "above 0", k.Rate)
		require(k.Work > 0, prefix+"work", "above 0", time.Duration(k.Work))
		require(k.Target > 0 && k.Target < k.Deadline, prefix+"target", "above 0 and below the deadline", time.Duration(k.Target))
		require(k.MinCoverage > 0 && k.MinCoverage <= 1, prefix+"minCoverage", "above 0 and at most 1", k.MinCoverage)
	}
	faultKinds := []string{FaultServerSlow, FaultServerDown, FaultServerSilent, FaultHostKilled}
	for i := range s.Faults {
		f, prefix := &s.Faults[i], fmt.Sprintf("faults.%d.", i)
		require(slices.Contains(faultKinds, f.Kind), prefix+"kind", "one of "+strings.Join(faultKinds, ", "), f.Kind)
		require(f.Share > 0 && f.Share <= 1, prefix+"share", "above 0 and at most 1", f.Share)
		require(f.Kind != FaultServerSlow || f.Factor > 1, prefix+"factor", "above 1", f.Factor)
	}
	if len(problems) == 0 {
		return nil
	}
	return errors.New(strings.Join(problems, "; "))
}
