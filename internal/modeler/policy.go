package modeler

import (
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Policy selects how hosts send requests to servers.
type Policy struct {
	Name string
	// ThroughOwner sends each attempt through the host that owns the server, instead of directly.
	ThroughOwner bool
	// NoExtraAttempts turns off hedges and retries.
	NoExtraAttempts bool
	// Oracle uses knowledge of when each server will answer; it is an upper bound for the worth of any policy.
	Oracle bool
}

const (
	// takeoverTime is how long it takes until another host owns the servers of a failed host, and failureDetectionTime how
	// long the other hosts take to detect the failure (docs/promises.md, figures of serve).
	takeoverTime         = 4100 * time.Millisecond
	failureDetectionTime = time.Second
	// peerLinkCost is the CPU time that both ends of a peer link spend on an attempt (docs/measurements.md).
	peerLinkCost = 50 * time.Microsecond
)

// Policies returns all policies.
func Policies() []Policy {
	return []Policy{
		{Name: "plain", NoExtraAttempts: true},
		{Name: "direct"},
		{Name: "owner", ThroughOwner: true},
		{Name: "ceiling", Oracle: true},
	}
}

// Select returns the policies named in a comma-separated list; an unknown name gives an Error of KindInvalid.
func Select(names string) ([]Policy, error) {
	var selected []Policy
	for name := range strings.SplitSeq(names, ",") {
		found := false
		for _, policy := range Policies() {
			if policy.Name == strings.TrimSpace(name) {
				selected, found = append(selected, policy), true
			}
		}
		if !found {
			return nil, &Error{Op: "select the policies", Kind: KindInvalid, Err: errors.Errorf("unknown policy %q", name)}
		}
	}
	return selected, nil
}
