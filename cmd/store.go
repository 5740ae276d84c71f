package cmd

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/transport/storer"
	"github.com/yuccarock/yuccarock/pkg/configurator"
)

const (
	configKey = "config"
	// maxRevisions bounds the attempts of a one-field change against other writers.
	maxRevisions = 10
)

// Store is what the commands need of the platform's store.
type Store interface {
	// Get returns the object at key, with version zero where there is none.
	Get(ctx context.Context, key string) (broker.Object, error)
	// GetVersion returns the object that had the version, with version zero where there was none.
	GetVersion(ctx context.Context, key string, version uint64) (broker.Object, error)
	// History returns the versions of an object, oldest first.
	History(ctx context.Context, key string) ([]storer.Version, error)
	// PutSettled writes where the version matches and finds out by the submission ID whether a write whose reply
	// was lost took effect.
	PutSettled(ctx context.Context, key string, value []byte, version uint64,
		submission func(value []byte) string) (uint64, error)
}

// StoreOpener returns the store at a base URL.
type StoreOpener func(url string) (Store, error)

type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

func openStore(text string) (Store, error) {
	base, err := url.Parse(text)
	if err != nil || base.Host == "" || (base.Scheme != "http" && base.Scheme != "https") {
		return nil, usage("--%s: %q is not an http or https URL", flagStore, text)
	}
	return storer.New(base, http.DefaultTransport, systemClock{}, metrics.NewSet(), storer.Options{}), nil
}

// submissionOf returns the submission ID of a stored configuration.
func submissionOf(value []byte) string {
	var config struct {
		SubmissionID string `json:"submissionId"`
	}
	_ = json.Unmarshal(value, &config)
	return config.SubmissionID
}

// put submits a configuration on top of a revision under a fresh submission ID and returns the new revision.
func (d *Dependencies) put(ctx context.Context, store Store, config *configurator.Config,
	on uint64) (uint64, error) {
	if err := configurator.Validate(config); err != nil {
		return 0, err
	}
	id, err := d.NewID()
	if err != nil {
		return 0, err
	}
	config.SubmissionID = id
	value, err := configurator.Canonical(config)
	if err != nil {
		return 0, err
	}
	return store.PutSettled(ctx, configKey, value, on, submissionOf)
}

// change is the result of a command that writes the configuration.
type change struct {
	Revision uint64   `json:"revision"`
	Changed  bool     `json:"changed"`
	Unserved []string `json:"unserved,omitempty"` // shards without a server that may receive new work
}

// revise merges a one-field change into the current configuration, again if another writer was first.
func (d *Dependencies) revise(ctx context.Context, store Store,
	edit func(*configurator.Config) (bool, error)) (change, error) {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = 20 * time.Millisecond
	for attempt := 1; ; attempt++ {
		current, err := store.Get(ctx, configKey)
		if err != nil {
			return change{}, err
		}
		if current.Version == 0 {
			return change{}, &Error{Op: "change the configuration", Kind: KindInvalid,
				Err: errors.New("the store holds no configuration; submit one first")}
		}
		config, err := configurator.Parse(current.Value)
		if err != nil {
			return change{}, errors.Wrapf(err, "revision %d in the store is invalid", current.Version)
		}
		changed, err := edit(config)
		if err != nil {
			return change{}, err
		}
		result := change{Revision: current.Version, Changed: changed, Unserved: configurator.Unserved(config)}
		if !changed {
			return result, nil
		}
		result.Revision, err = d.put(ctx, store, config, current.Version)
		if storer.KindOf(err) != storer.KindConflict || attempt == maxRevisions {
			return result, err
		}
		select {
		case <-time.After(delays.NextBackOff()):
		case <-ctx.Done():
			return change{}, err
		}
	}
}
