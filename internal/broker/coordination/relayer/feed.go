package relayer

import (
	"compress/gzip"
	"encoding/json"
	"io"
	"math/rand/v2"
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
	// maxAge is the maximum age of what a host knows from a relay: how long ago the relay's copy had every change. A
	// configuration must be in force 3 s after its acknowledgement; the rest of that time is for reading it elsewhere.
	maxAge = 2 * time.Second
	// maxPassedAge is the maximum age of what a relay knows from another one, and of what any host knows from one in another
	// zone. Relays leave theirs earlier than the hosts of their zone would leave them, so that these do not notice.
	maxPassedAge = 1500 * time.Millisecond
	// minRenewal is by how much what a relay knows has to be newer than what the host knows for an answer without changes,
	// and minPassedRenewal the same if the host is a relay itself. Hosts that follow the store learn each 500 ms that there
	// are none.
	minRenewal       = 900 * time.Millisecond
	minPassedRenewal = 400 * time.Millisecond
	// renewalSpread is the time over which the hosts that wait are told that there are no changes, so that a relay does not
	// answer all of them at the same moment.
	renewalSpread = 100 * time.Millisecond
	// headerRetryAfter is set in the answers of a relay that has no state yet.
	headerRetryAfter = "Retry-After"
	// maxLogChanges is the number of changes that a feed keeps; hosts that are further behind list the collection.
	maxLogChanges = 1024
)

// reply is a feed's answer; Items is set if Full is set, and Changes otherwise.
type reply[T any] struct {
	Era      uint64 `json:"era,omitempty"`
	Revision uint64 `json:"at"`
	// KnownFor is the time up to which the relay's copy has every change, relative to the arrival of the request. It is
	// negative if that was before. The clocks of the two hosts need not agree.
	KnownFor time.Duration `json:"knownFor"`
	// Position is the client's position in the change log, which it sends with its next request.
	Position string             `json:"seen"`
	Full     bool               `json:"whole"`
	Items    []broker.Item[T]   `json:"items,omitempty"`
	Changes  []broker.Change[T] `json:"changes,omitempty"`
}

// Feed serves a collection that this host follows to other hosts; it implements http.Handler.
type Feed[T any] struct {
	serves func() bool

	mu      sync.Mutex
	process string // changes with each start of the host
	items   map[string]broker.Item[T]
	known   broker.Knowledge
	log     []broker.Change[T] // oldest first
	dropped uint64             // number of changes that were dropped from the log
	changed chan struct{}
}

// NewFeed returns an empty feed. It refuses requests until the first Publish, while serves returns false, and while what it
// knows is older than maxAge.
func NewFeed[T any](serves func() bool) *Feed[T] {
	return &Feed[T]{serves: serves, process: uuid.NewString(), changed: make(chan struct{})}
}

// Publish sets a new state of the collection.
func (f *Feed[T]) Publish(update follower.Update[T]) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case update.Known.Era != f.known.Era:
		// Hosts that know a state of another era list the collection.
		f.dropLog()
		f.known = update.Known
	case f.items != nil:
		f.logChanges(update)
	}
	f.items = update.Items
	f.renew(update.Known)
}

// Renew records up to which point the published state has every change. A state of another era is not renewed.
func (f *Feed[T]) Renew(known broker.Knowledge) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if known.Era == f.known.Era {
		f.renew(known)
	}
}

// renew advances what is known and wakes the requests that wait; the caller holds mu.
func (f *Feed[T]) renew(known broker.Knowledge) {
	f.known.Revision = max(f.known.Revision, known.Revision)
	if known.At.After(f.known.At) {
		f.known.At = known.At
	}
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
				Item: broker.Item[T]{Name: name, Revision: update.Known.Revision}, Deleted: true,
			})
		}
	}
	if len(f.log) > maxLogChanges {
		f.dropLog()
	}
}

// dropLog drops all changes, and one that no host has seen, so that all hosts list the collection.
func (f *Feed[T]) dropLog() {
	f.dropped += uint64(len(f.log)) + 1
	f.log = nil
}

// ServeHTTP answers with the changes since the position in the query, or with all items if the log no longer has them.
// Without changes it waits for one up to the time in the query, or until this host knows the collection up to a later time
// than the client, whose age is in the query. A request with the parameter old is answered even if what this host knows
// is old.
func (f *Feed[T]) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	position, allowOld := r.URL.Query().Get("seen"), r.URL.Query().Get("old") != ""
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	age, _ := time.ParseDuration(r.URL.Query().Get("age"))
	far, renewal := r.URL.Query().Get("far") != "", minRenewal
	if r.URL.Query().Get("passes") != "" {
		renewal = minPassedRenewal
	}
	timeout := time.NewTimer(min(wait, maxAge))
	defer timeout.Stop()
	for renewed, ended := false, false; ; {
		state, ok := f.read(position)
		if !ok || !allowOld && !f.isCurrent(state.known) {
			if !ok {
				w.Header().Set(headerRetryAfter, "0")
			}
			http.Error(w, "this host does not relay the collection now", http.StatusServiceUnavailable)
			return
		}
		if state.reply.Full || len(state.reply.Changes) > 0 || ended {
			state.reply.KnownFor = state.known.At.Sub(arrived)
			write(w, state.reply, far && acceptsGzip(r))
			return
		}
		if !renewed && state.known.At.Sub(arrived.Add(-age)) >= renewal {
			renewed = true
			timeout.Reset(rand.N(renewalSpread))
		}
		select {
		case <-state.changed:
		case <-timeout.C:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

// isCurrent reports whether this host is a relay and knows of every change up to maxAge ago.
func (f *Feed[T]) isCurrent(known broker.Knowledge) bool {
	return f.serves() && time.Since(known.At) < maxAge
}

func acceptsGzip(r *http.Request) bool {
	return strings.Contains(r.Header.Get("Accept-Encoding"), "gzip")
}

// compressors are reused, because each has tables of hundreds of kilobytes.
var compressors = sync.Pool{New: func() any {
	compressor, err := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed)
	if err != nil {
		panic(err) // the level is valid
	}
	return compressor
}}

// write sends an answer. Answers to hosts in other zones are compressed.
func write[T any](w http.ResponseWriter, answer reply[T], compress bool) {
	w.Header().Set("Content-Type", "application/json")
	if !compress || len(answer.Items)+len(answer.Changes) == 0 {
		_ = json.NewEncoder(w).Encode(answer) // fails only if the client has disconnected
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	compressor, _ := compressors.Get().(*gzip.Writer)
	defer compressors.Put(compressor)
	compressor.Reset(w)
	_ = json.NewEncoder(compressor).Encode(answer) // as above
	_ = compressor.Close()
}

// feedState is the state of a feed as seen from a position in its log.
type feedState[T any] struct {
	reply   reply[T] // without KnownFor
	known   broker.Knowledge
	changed <-chan struct{} // closed by the next Publish or Renew
}

// read returns the state for a position, or false before the first Publish.
func (f *Feed[T]) read(position string) (feedState[T], bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.items == nil {
		return feedState[T]{}, false
	}
	end := f.dropped + uint64(len(f.log))
	answer := reply[T]{Era: f.known.Era, Revision: f.known.Revision, Position: f.process + "." + strconv.FormatUint(end, 10)}
	process, number, _ := strings.Cut(position, ".")
	offset, err := strconv.ParseUint(number, 10, 64)
	if err != nil || process != f.process || offset < f.dropped || offset > end {
		answer.Full = true
		answer.Items = make([]broker.Item[T], 0, len(f.items))
		for _, item := range f.items {
			answer.Items = append(answer.Items, item)
		}
	} else {
		answer.Changes = slices.Clone(f.log[offset-f.dropped:])
	}
	return feedState[T]{reply: answer, known: f.known, changed: f.changed}, true
}
