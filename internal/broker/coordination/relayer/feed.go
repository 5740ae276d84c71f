package relayer

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/follower"
)

const (
	// maxLogChanges is the number of changes that a feed keeps; hosts that are further behind list the collection.
	maxLogChanges = 1024
	// maxWait is the maximum time that a request waits for changes. It also bounds the time to notice a dead connection.
	maxWait = time.Second
)

// reply is a feed's answer; Items is set if Full is set, and Changes otherwise.
type reply[T any] struct {
	Revision uint64 `json:"at"`
	// Position is the client's position in the change log, which it sends with its next request.
	Position string             `json:"seen"`
	Full     bool               `json:"whole"`
	Items    []broker.Item[T]   `json:"items,omitempty"`
	Changes  []broker.Change[T] `json:"changes,omitempty"`
}

// Feed serves a collection that this host follows to other hosts; it implements http.Handler.
type Feed[T any] struct {
	isFresh func() bool // whether this host follows the store and has reached it recently

	mu       sync.Mutex
	process  string // changes with each start of the host
	items    map[string]broker.Item[T]
	revision uint64
	log      []broker.Change[T] // oldest first
	dropped  uint64             // number of changes that were dropped from the log
	changed  chan struct{}
}

// NewFeed returns an empty feed. It refuses requests until the first Publish and while isFresh returns false.
func NewFeed[T any](isFresh func() bool) *Feed[T] {
	return &Feed[T]{isFresh: isFresh, process: uuid.NewString(), changed: make(chan struct{})}
}

// Publish sets a new state of the collection.
func (f *Feed[T]) Publish(update follower.Update[T]) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.items != nil {
		f.logChanges(update)
	}
	f.items, f.revision = update.Items, update.Revision
	close(f.changed)
	f.changed = make(chan struct{})
}

// Find returns the item with the given name from the last published state; loaded is false before the first Publish.
func (f *Feed[T]) Find(name string) (item broker.Item[T], found, loaded bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	item, found = f.items[name]
	return item, found, f.items != nil
}

// logChanges appends the changes of an update to the log.
func (f *Feed[T]) logChanges(update follower.Update[T]) {
	for name, item := range update.Items {
		if previous, ok := f.items[name]; !ok || previous.Revision != item.Revision {
			f.log = append(f.log, broker.Change[T]{Item: item})
		}
	}
	for name := range f.items {
		if _, ok := update.Items[name]; !ok {
			f.log = append(f.log, broker.Change[T]{
				Item: broker.Item[T]{Name: name, Revision: update.Revision}, Deleted: true,
			})
		}
	}
	if len(f.log) > maxLogChanges {
		f.dropped += uint64(len(f.log))
		f.log = nil
	}
}

// ServeHTTP answers with the changes since the position in the query, or with all items if the log no longer has them.
// Without changes it waits for one up to the time in the query. A request with the parameter old is answered even if
// this host cannot reach the store.
func (f *Feed[T]) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	position, allowStale := r.URL.Query().Get("seen"), r.URL.Query().Get("old") != ""
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	timeout := time.NewTimer(min(wait, maxWait))
	defer timeout.Stop()
	for {
		answer, changed, ok := f.read(position)
		if !ok || !allowStale && !f.isFresh() {
			http.Error(w, "this host is not following the store", http.StatusServiceUnavailable)
			return
		}
		if answer.Full || len(answer.Changes) > 0 {
			f.write(w, answer)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			f.write(w, answer)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (f *Feed[T]) write(w http.ResponseWriter, answer reply[T]) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer) // fails only if the client has disconnected
}

// read returns the answer for a position and a channel that the next Publish closes, or false before the first Publish.
func (f *Feed[T]) read(position string) (reply[T], <-chan struct{}, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.items == nil {
		return reply[T]{}, nil, false
	}
	end := f.dropped + uint64(len(f.log))
	answer := reply[T]{Revision: f.revision, Position: f.process + "." + strconv.FormatUint(end, 10)}
	process, number, _ := strings.Cut(position, ".")
	offset, err := strconv.ParseUint(number, 10, 64)
	if err != nil || process != f.process || offset < f.dropped || offset > end {
		answer.Full = true
		answer.Items = make([]broker.Item[T], 0, len(f.items))
		for _, item := range f.items {
			answer.Items = append(answer.Items, item)
		}
		return answer, f.changed, true
	}
	answer.Changes = slices.Clone(f.log[offset-f.dropped:])
	return answer, f.changed, true
}
