package adopter

import (
	"errors"
	"testing"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/state/holder"
	"github.com/yuccarock/yuccarock/internal/broker/state/indexer"
	"github.com/yuccarock/yuccarock/pkg/configurator"
)

var errInvalid = errors.New("invalid")

func validate(value []byte) (*configurator.Config, error) {
	if string(value) == "invalid" {
		return nil, errInvalid
	}
	return &configurator.Config{Name: string(value)}, nil
}

// TestOffer guards against outdated, repeated or invalid configurations that replace the one in force.
func TestOffer(t *testing.T) {
	steps := []struct {
		revision broker.Revision
		value    string
		adopted  bool
		invalid  bool
		inForce  string
		revNow   broker.Revision
	}{
		{revision: 3, value: "a", adopted: true, inForce: "a", revNow: 3},
		{revision: 3, value: "repeated", inForce: "a", revNow: 3},
		{revision: 2, value: "late", inForce: "a", revNow: 3},
		{revision: 5, value: "invalid", invalid: true, inForce: "a", revNow: 3},
		{revision: 5, value: "invalid", inForce: "a", revNow: 3},
		{revision: 4, value: "b", adopted: true, inForce: "b", revNow: 4},
		{revision: 5, value: "c", adopted: true, inForce: "c", revNow: 5},
	}
	a := New(validate, holder.New[indexer.Table](nil))
	for i, step := range steps {
		got, err := a.Offer(broker.ConfigObject{Revision: step.revision, Value: []byte(step.value)})
		var failure *Error
		invalid := errors.As(err, &failure) && failure.Kind == KindInvalid && errors.Is(err, errInvalid)
		if got != step.adopted || invalid != step.invalid {
			t.Errorf("step %d: got adopted %v, invalid %v (%v), want %v, %v", i, got, invalid, err, step.adopted, step.invalid)
		}
		if a.Table().Config.Name != step.inForce || a.Revision() != step.revNow || a.Table().Revision != step.revNow {
			t.Errorf("step %d: got %s at revision %d, want %s at %d", i, a.Table().Config.Name, a.Revision(),
				step.inForce, step.revNow)
		}
	}
	if a.ShouldFetch(5) || !a.ShouldFetch(6) {
		t.Errorf("ShouldFetch(): got %v, %v, want false for the revision in force and true for a higher one",
			a.ShouldFetch(5), a.ShouldFetch(6))
	}
}
