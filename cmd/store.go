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
	// maxEditAttempts limits how often a one-field change is tried when other writers keep changing the configuration.
	maxEditAttempts = 10
)

// Store is the part of the client of the platform's store that the commands use.
type Store interface {
	// Get returns the object at key; its version is zero if there is none.
	Get(ctx context.Context, key string) (broker.Object, error)
	// GetVersion returns the object as it was at a version; its version is zero if there was none.
	GetVersion(ctx context.Context, key string, version uint64) (broker.Object, error)
	// History returns the versions of an object, oldest first.
	History(ctx context.Context, key string) ([]storer.Version, error)
	// PutSettled writes the value if the object still has the version. If the reply is lost, it reads the object
	// back and compares submission IDs to find out whether the write took effect.
	PutSettled(ctx context.Context, key string, value []byte, version uint64,
		submission func(value []byte) string) (uint64, error)
}

// StoreOpener returns a client of the store at a base URL.
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

// submissionIDOf returns the submission ID of a stored configuration.
func submissionIDOf(value []byte) string {
	var config struct {
		SubmissionID string `json:"submissionId"`
	}
	_ = json.Unmarshal(value, &config)
	return config.SubmissionID
}

// put validates a configuration, writes it with a new submission ID if base is still the current revision, and returns
// the new revision.
func (d *Dependencies) put(ctx context.Context, store Store, config *configurator.Config,
	base uint64) (uint64, error) {
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
	return store.PutSettled(ctx, configKey, value, base, submissionIDOf)
}

// changeResult is the result of a command that writes the configuration.
type changeResult struct {
	Revision uint64   `json:"revision"`
	Changed  bool     `json:"changed"`
	Unserved []string `json:"unserved,omitempty"` // shards without a server that may receive new work
}

// applyEdit makes a one-field change to the current configuration and writes the result. If another writer was faster,
// it starts again from that writer's revision.
func (d *Dependencies) applyEdit(ctx context.Context, store Store,
	edit func(*configurator.Config) (bool, error)) (changeResult, error) {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = 20 * time.Millisecond
	for attempt := 1; ; attempt++ {
		current, err := store.Get(ctx, configKey)
		if err != nil {
			return changeResult{}, err
		}
		if current.Version == 0 {
			return changeResult{}, &Error{Op: "change the configuration", Kind: KindInvalid,
				Err: errors.New("the store holds no configuration; submit one first")}
		}
		config, err := configurator.Parse(current.Value)
		if err != nil {
			return changeResult{}, errors.Wrapf(err, "revision %d in the store is invalid", current.Version)
		}
		changed, err := edit(config)
		if err != nil {
			return changeResult{}, err
		}
		result := changeResult{Revision: current.Version, Changed: changed, Unserved: configurator.Unserved(config)}
		if !changed {
			return result, nil
		}
		result.Revision, err = d.put(ctx, store, config, current.Version)
		if storer.KindOf(err) != storer.KindConflict || attempt == maxEditAttempts {
			return result, err
		}
		select {
		case <-time.After(delays.NextBackOff()):
		case <-ctx.Done():
			return changeResult{}, err
		}
	}
}
