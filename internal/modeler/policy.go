package modeler

import (
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Policy is a way to send requests to servers.
type Policy struct {
	Name string
	// Hop sends each attempt through the host that owns the server.
	Hop bool
	// NoFurther sends no hedges and no retries.
	NoFurther bool
	// Foresight knows when each server would answer, and is the ceiling of what any policy can earn.
	Foresight bool
}

const (
	// takeoverTime is how long a server has no owner after its owner died, and linkSilence how long the other hosts take to
	// notice (docs/promises.md, figures of serve).
	takeoverTime = 4100 * time.Millisecond
	linkSilence  = time.Second
	// linkCost is the processor time of both ends for an attempt over a peer link (docs/measurements.md).
	linkCost = 50 * time.Microsecond
)

// Policies returns the known policies.
func Policies() []Policy {
	return []Policy{
		{Name: "plain", NoFurther: true},
		{Name: "direct"},
		{Name: "owner", Hop: true},
		{Name: "ceiling", Foresight: true},
	}
}

// Select returns the policies of a comma-separated list of names.
func Select(names string) ([]Policy, error) {
	var chosen []Policy
	for name := range strings.SplitSeq(names, ",") {
		found := false
		for _, policy := range Policies() {
			if policy.Name == strings.TrimSpace(name) {
				chosen, found = append(chosen, policy), true
			}
		}
		if !found {
			return nil, &Error{Op: "choose the policies", Kind: KindInvalid, Err: errors.Errorf("there is no policy %q", name)}
		}
	}
	return chosen, nil
}
