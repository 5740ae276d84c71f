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

// KindInvalid means that the configuration failed validation; the one in force is kept.
const KindInvalid Kind = "invalid"

// Error is an error of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the failed operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("could not %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Validate parses and validates an encoded configuration.
type Validate func(value []byte) (*configurator.Config, error)

// Adopter holds the configuration in force; it is safe for concurrent use.
type Adopter struct {
	validate Validate
	table    *holder.Holder[indexer.Table]

	mu      sync.Mutex
	refused map[broker.Revision]uint64 // hash of the refused configuration
	object  atomic.Pointer[broker.ConfigObject]
}

// maxRefused is the maximum number of refused revisions that are kept; the record is cleared when it is full.
const maxRefused = 64

// New returns an adopter that stores the table of each adopted configuration in table, which holds nil until the first.
func New(validate Validate, table *holder.Holder[indexer.Table]) *Adopter {
	return &Adopter{validate: validate, table: table, refused: make(map[broker.Revision]uint64)}
}

// Offer adopts object if its revision is higher than the one in force, and reports whether it did. For an invalid
// configuration it returns an Error of KindInvalid, and no error if the same configuration is offered again.
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

// ShouldFetch reports whether an announced revision is higher than the one in force and has not been refused.
func (a *Adopter) ShouldFetch(revision broker.Revision) bool {
	if revision <= a.Revision() {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	_, known := a.refused[revision]
	return !known
}

// Revision returns the revision in force, or zero if there is none.
func (a *Adopter) Revision() broker.Revision {
	if object := a.object.Load(); object != nil {
		return object.Revision
	}
	return 0
}

// Object returns the configuration in force as stored, or nil if there is none.
func (a *Adopter) Object() *broker.ConfigObject { return a.object.Load() }

// Table returns the table of the configuration in force, or nil if there is none.
func (a *Adopter) Table() *indexer.Table { return a.table.Load() }
