package storer

import (
	"context"
	"slices"

	"github.com/cenkalti/backoff/v5"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/waiter"
)

// PutSettled writes like Put. After a lost reply it reads the object back until it is known whether the write took
// effect or ctx is done. The value must contain a unique submission ID. The function submission returns the ID in a
// value, or an empty string if there is none. An error of KindUnknownOutcome means that ctx was done first.
func (s *Storer) PutSettled(
	ctx context.Context, key string, value []byte, version uint64, submission func(value []byte) string,
) (uint64, error) {
	const op = "put an object and confirm the outcome"
	id := submission(value)
	if id == "" {
		return 0, newError(op, KindInvalid, "the value has no submission ID")
	}
	written, err := s.Put(ctx, key, value, version)
	if KindOf(err) != KindUnknownOutcome {
		return written, err
	}
	policy := &backoff.ExponentialBackOff{
		InitialInterval:     s.options.MinBackoff,
		MaxInterval:         s.options.MaxBackoff,
		Multiplier:          backoff.DefaultMultiplier,
		RandomizationFactor: backoff.DefaultRandomizationFactor,
	}
	for waiter.Wait(ctx, policy.NextBackOff()) {
		next, readErr := s.nextVersion(ctx, key, version)
		switch {
		case readErr != nil:
			continue
		case next.Version > 0 && submission(next.Value) == id:
			return next.Version, nil
		case next.Version > 0:
			return 0, newError(op, KindConflict, "another write took effect first")
		}
		// The object is unchanged. The first write may still take effect, but both writes require the same version,
		// so at most one of them does, and both have the same submission ID.
		if written, err = s.Put(ctx, key, value, version); err == nil {
			return written, nil
		}
	}
	return 0, wrap(op, KindUnknownOutcome, err)
}

// nextVersion returns the object with its first version after the given one, or an object with version zero if there is
// none. It reads the history, because later writes may have replaced that version.
func (s *Storer) nextVersion(ctx context.Context, key string, version uint64) (broker.Object, error) {
	versions, err := s.History(ctx, key)
	if err != nil {
		return broker.Object{}, err
	}
	i := slices.IndexFunc(versions, func(v Version) bool { return v.Version > version })
	if i < 0 {
		return broker.Object{}, nil
	}
	object, err := s.GetVersion(ctx, key, versions[i].Version)
	if err == nil && object.Version == 0 {
		err = newError("read back an object", KindInvalid, "the history lists a version that does not exist")
	}
	return object, err
}
