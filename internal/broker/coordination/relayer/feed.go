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
	// keptChanges is how many changes a feed keeps for hosts that are behind; others read the whole collection.
	keptChanges = 1024
	// maxWait bounds how long a feed keeps a question open, and with it how late a silent connection is found.
	maxWait = time.Second
)

// reply is a feed's answer to a question; Items are set where Whole is.
type reply[T any] struct {
	At uint64 `json:"at"`
	// Seen tells the feed in the next question what the asker knows.
	Seen    string             `json:"seen"`
	Whole   bool               `json:"whole"`
	Items   []broker.Item[T]   `json:"items,omitempty"`
	Changes []broker.Change[T] `json:"changes,omitempty"`
}

// Feed offers a collection that this host follows to other hosts; it implements http.Handler.
type Feed[T any] struct {
	fresh func() bool // whether this host follows the store itself and has reached it lately

	mu      sync.Mutex
	process string // differs between two starts of the host
	items   map[string]broker.Item[T]
	at      uint64
	log     []broker.Change[T] // oldest first
	before  uint64             // number of changes before the first of the log
	changed chan struct{}
}

// NewFeed returns an empty feed, which refuses questions until the first Publish and while fresh returns false.
func NewFeed[T any](fresh func() bool) *Feed[T] {
	return &Feed[T]{fresh: fresh, process: uuid.NewString(), changed: make(chan struct{})}
}

// Publish takes a new state of the collection.
func (f *Feed[T]) Publish(update follower.Update[T]) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.items != nil {
		f.record(update)
	}
	f.items, f.at = update.Items, update.Revision
	close(f.changed)
	f.changed = make(chan struct{})
}

// Find returns the item of a name as published last; known is false before the first Publish.
func (f *Feed[T]) Find(name string) (item broker.Item[T], found, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	item, found = f.items[name]
	return item, found, f.items != nil
}

// record appends what an update changed to the log.
func (f *Feed[T]) record(update follower.Update[T]) {
	for name, item := range update.Items {
		if held, ok := f.items[name]; !ok || held.Revision != item.Revision {
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
	if len(f.log) > keptChanges {
		f.before += uint64(len(f.log))
		f.log = nil
	}
}

// ServeHTTP answers with the changes since an earlier answer, or with all items where the log does not reach so far; it
// waits for a change for up to the time in the query. A question that accepts an old state is answered without the store.
func (f *Feed[T]) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	seen, old := r.URL.Query().Get("seen"), r.URL.Query().Get("old") != ""
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	over := time.NewTimer(min(wait, maxWait))
	defer over.Stop()
	for {
		answer, changed, ok := f.read(seen)
		if !ok || !old && !f.fresh() {
			http.Error(w, "this host does not follow the store now", http.StatusServiceUnavailable)
			return
		}
		if answer.Whole || len(answer.Changes) > 0 {
			f.write(w, answer)
			return
		}
		select {
		case <-changed:
		case <-over.C:
			f.write(w, answer)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (f *Feed[T]) write(w http.ResponseWriter, answer reply[T]) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer) // the asker is gone if this fails
}

// read returns the answer to a question and what tells of the next change; false where nothing is known yet.
func (f *Feed[T]) read(seen string) (reply[T], <-chan struct{}, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.items == nil {
		return reply[T]{}, nil, false
	}
	last := f.before + uint64(len(f.log))
	answer := reply[T]{At: f.at, Seen: f.process + "." + strconv.FormatUint(last, 10)}
	process, number, _ := strings.Cut(seen, ".")
	known, err := strconv.ParseUint(number, 10, 64)
	if err != nil || process != f.process || known < f.before || known > last {
		answer.Whole = true
		answer.Items = make([]broker.Item[T], 0, len(f.items))
		for _, item := range f.items {
			answer.Items = append(answer.Items, item)
		}
		return answer, f.changed, true
	}
	answer.Changes = slices.Clone(f.log[known-f.before:])
	return answer, f.changed, true
}
