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
var scenarios embed.FS

// Scenario describes a system and what happens to it.
type Scenario struct {
	Name   string                `json:"name"`
	Length configurator.Duration `json:"length"`
	Zones  []string              `json:"zones"`
	// BetweenZones is the one-way latency between two availability zones; within one it is a tenth of that.
	BetweenZones configurator.Duration `json:"betweenZones"`
	// ToCallers is what a caller's time holds beside the host's: the ways there and back, and its connection.
	ToCallers configurator.Duration `json:"toCallers"`
	Hosts     int                   `json:"hosts"`  // in turn by zone
	Shards    int                   `json:"shards"` // each with Replicas servers in different zones
	Replicas  int                   `json:"replicas"`
	Slots     int                   `json:"slots"`
	// Queue is how many requests wait at a server before it refuses more as not run.
	Queue int `json:"queue"`
	// Pause is how long each server stands still in each Period, at a moment of its own.
	Pause  configurator.Duration `json:"pause"`
	Period configurator.Duration `json:"period"`
	// RetryShare of the requests for a shard, and RetrySlack within 10 s, may be sent further by all hosts together.
	RetryShare float64 `json:"retryShare"`
	RetrySlack int     `json:"retrySlack"`
	Kinds      []Kind  `json:"kinds"`
	Faults     []Fault `json:"faults"`
}

// Kind is one kind of request, which goes to all shards.
type Kind struct {
	Name string  `json:"name"`
	Rate float64 `json:"rate"` // requests a second
	// Work is the mean time at a server, with Spread as the standard deviation of its logarithm; TailShare of the
	// requests takes TailFactor times as long.
	Work       configurator.Duration `json:"work"`
	Spread     float64               `json:"spread"`
	TailShare  float64               `json:"tailShare"`
	TailFactor float64               `json:"tailFactor"`
	// Target is the caller's latency target, and Deadline its patience.
	Target      configurator.Duration `json:"target"`
	Deadline    configurator.Duration `json:"deadline"`
	MinCoverage float64               `json:"minCoverage"`
	Attempts    int                   `json:"attempts"`
	// Worth is earned within the target, LateWorth of it later, both times the square of the coverage.
	Worth     float64 `json:"worth"`
	LateWorth float64 `json:"lateWorth"`
}

// Kinds of fault.
const (
	FaultServerSlow   = "serverSlow"   // servers take Factor times as long
	FaultServerDown   = "serverDown"   // servers lose what they work on and refuse connections
	FaultServerSilent = "serverSilent" // servers receive requests and answer nothing
	FaultHostKilled   = "hostKilled"   // hosts lose what they work on and are away
)

// Fault is one disturbance.
type Fault struct {
	Kind   string                `json:"kind"`
	At     configurator.Duration `json:"at"`
	For    configurator.Duration `json:"for"`
	Share  float64               `json:"share"` // of the servers, one of each shard at most; of the hosts
	Factor float64               `json:"factor"`
}

// Names returns the names of the scenarios that come with the program.
func Names() []string {
	entries, err := scenarios.ReadDir("scenarios")
	if err != nil {
		return nil // the directory is part of the program
	}
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		names = append(names, strings.TrimSuffix(entry.Name(), ".json"))
	}
	return names
}

// Load reads a scenario by the name of one that comes with the program, or from a file.
func Load(name string) (*Scenario, error) {
	data, err := scenarios.ReadFile(path.Join("scenarios", name+".json"))
	if err != nil {
		if data, err = os.ReadFile(name); err != nil {
			return nil, &Error{Op: "read the scenario", Kind: KindUnreadable, Err: errors.WithStack(err)}
		}
	}
	return Parse(data)
}

// Parse reads a scenario; the error lists every fault with its path.
func Parse(data []byte) (*Scenario, error) {
	var scenario Scenario
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&scenario); err != nil {
		return nil, &Error{Op: "decode the scenario", Kind: KindInvalid, Err: errors.WithStack(err)}
	}
	if err := scenario.check(); err != nil {
		return nil, &Error{Op: "accept the scenario", Kind: KindInvalid, Err: err}
	}
	return &scenario, nil
}

func (s *Scenario) check() error {
	var faults []string
	want := func(holds bool, path, rule string, got any) {
		if !holds {
			faults = append(faults, fmt.Sprintf("%s: must be %s, got %v", path, rule, got))
		}
	}
	want(time.Duration(s.Length) >= time.Second, "length", "1 s or more", time.Duration(s.Length))
	want(len(s.Zones) > 0, "zones", "one or more", len(s.Zones))
	counts := []struct {
		path string
		got  int
	}{{"hosts", s.Hosts}, {"shards", s.Shards}, {"replicas", s.Replicas}, {"slots", s.Slots}, {"queue", s.Queue}}
	for _, count := range counts {
		want(count.got > 0, count.path, "above 0", count.got)
	}
	want(s.Pause < s.Period || s.Pause == 0, "pause", "shorter than the period", time.Duration(s.Pause))
	want(len(s.Kinds) > 0, "kinds", "one or more", len(s.Kinds))
	for i := range s.Kinds {
		k, at := &s.Kinds[i], fmt.Sprintf("kinds.%d.", i)
		want(k.Name != "", at+"name", "set", k.Name)
		want(k.Rate > 0, at+"rate", "above 0", k.Rate)
		want(k.Work > 0, at+"work", "above 0", time.Duration(k.Work))
		want(k.Target > 0 && k.Target < k.Deadline, at+"target", "above 0 and below the deadline", time.Duration(k.Target))
		want(k.MinCoverage > 0 && k.MinCoverage <= 1, at+"minCoverage", "above 0 and at most 1", k.MinCoverage)
	}
	known := []string{FaultServerSlow, FaultServerDown, FaultServerSilent, FaultHostKilled}
	for i := range s.Faults {
		f, at := &s.Faults[i], fmt.Sprintf("faults.%d.", i)
		want(slices.Contains(known, f.Kind), at+"kind", "one of "+strings.Join(known, ", "), f.Kind)
		want(f.Share > 0 && f.Share <= 1, at+"share", "above 0 and at most 1", f.Share)
		want(f.Kind != FaultServerSlow || f.Factor > 1, at+"factor", "above 1", f.Factor)
	}
	if len(faults) == 0 {
		return nil
	}
	return errors.New(strings.Join(faults, "; "))
}
