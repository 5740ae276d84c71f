package adopter

import (
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/state/holder"
	"github.com/yuccarock/yuccarock/internal/broker/state/indexer"
	"github.com/yuccarock/yuccarock/pkg/configurator"
)

// Kind classifies an Error.
type Kind string

// KindInvalid is a configuration that validation refused; the one in force stays.
const KindInvalid Kind = "invalid"

// Error is an error of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("could not %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Validate parses an encoded configuration and checks all of it.
type Validate func(value []byte) (*configurator.Config, error)

// Adopter holds the configuration in force; it is safe for concurrent use.
type Adopter struct {
	validate Validate
	table    *holder.Holder[indexer.Table]

	mu      sync.Mutex
	refused map[broker.Revision]uint64 // hash of the refused value
	object  atomic.Pointer[broker.ConfigObject]
}

// maxRefused bounds the refused revisions that are remembered.
const maxRefused = 64

// New returns an adopter that publishes tables through table, which holds nil until the first adoption.
func New(validate Validate, table *holder.Holder[indexer.Table]) *Adopter {
	return &Adopter{validate: validate, table: table, refused: make(map[broker.Revision]uint64)}
}

// Offer adopts object if its revision is higher than the one in force, and returns whether it did.
// An invalid configuration gives an Error of KindInvalid.
func (a *Adopter) Offer(object broker.ConfigObject) (bool, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if object.Revision <= a.Revision() {
		return false, nil
	}
	hash := xxhash.Sum64(object.Value)
	if known, ok := a.refused[object.Revision]; ok && known == hash {
		return false, nil
	}
	config, err := a.validate(object.Value)
	if err != nil {
		if len(a.refused) >= maxRefused {
			clear(a.refused)
		}
		a.refused[object.Revision] = hash
		return false, &Error{
			Op: "adopt configuration", Kind: KindInvalid,
			Err: errors.Wrapf(err, "revision %d", object.Revision),
		}
	}
	a.table.Update(func(*indexer.Table) *indexer.Table { return indexer.New(object.Revision, config) })
	a.object.Store(&object)
	return true, nil
}

// Wants returns whether a revision that a peer or the store announces is worth fetching.
func (a *Adopter) Wants(revision broker.Revision) bool {
	if revision <= a.Revision() {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	_, known := a.refused[revision]
	return !known
}

// Revision returns the revision in force, or zero.
func (a *Adopter) Revision() broker.Revision {
	if object := a.object.Load(); object != nil {
		return object.Revision
	}
	return 0
}

// Object returns the configuration in force as stored, or nil.
func (a *Adopter) Object() *broker.ConfigObject { return a.object.Load() }

// Table returns the table in force, or nil.
func (a *Adopter) Table() *indexer.Table { return a.table.Load() }
