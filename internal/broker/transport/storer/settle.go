package storer

import (
	"context"
	"slices"

	"github.com/cenkalti/backoff/v5"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/waiter"
)

// PutSettled writes like Put and, after a lost reply, reads back until it is known whether the write took effect
// or ctx ends. The value must contain a submission ID of its own, which submission finds in a value; it returns an
// empty string for a value without one. An error of KindUnknownOutcome means that ctx ended before it was known.
func (s *Storer) PutSettled(
	ctx context.Context, key string, value []byte, version uint64, submission func(value []byte) string,
) (uint64, error) {
	const op = "put an object and settle the outcome"
	id := submission(value)
	if id == "" {
		return 0, failure(op, KindInvalid, "the value has no submission ID")
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
		next, readErr := s.following(ctx, key, version)
		switch {
		case readErr != nil:
			continue
		case next.Version > 0 && submission(next.Value) == id:
			return next.Version, nil
		case next.Version > 0:
			return 0, failure(op, KindConflict, "another write took effect first")
		}
		// The object is unchanged. The first write may still take effect, but the same condition lets at most
		// one of the two through, and both carry the same submission ID.
		if written, err = s.Put(ctx, key, value, version); err == nil {
			return written, nil
		}
	}
	return 0, wrap(op, KindUnknownOutcome, err)
}

// following returns the object as the first write on top of version left it, with version zero where there was no
// such write. Later writes may have replaced it, so it comes from the history.
func (s *Storer) following(ctx context.Context, key string, version uint64) (broker.Object, error) {
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
		err = failure("read back an object", KindInvalid, "the history names a version that is gone")
	}
	return object, err
}
