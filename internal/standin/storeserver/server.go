package storeserver

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/pkg/configurator"
)

const (
	// MaxValueSize is the largest size of a value in bytes.
	MaxValueSize = 1 << 20
	// maxWait is the longest wait that a watch can request.
	maxWait = time.Minute
	// maxControlBody is the largest request body in bytes of the paths that control the stand-in.
	maxControlBody = 1 << 20
)

// Faults are the faults that the store injects.
type Faults struct {
	// Down makes every call answer 503, waiting watches included.
	Down bool `json:"down"`
	// Latency delays each call; a write takes effect after the delay even if the client has given up.
	Latency configurator.Duration `json:"latency"`
	// LoseReplies is the number of upcoming writes that take effect but whose connection is closed without a reply.
	LoseReplies int `json:"loseReplies"`
	// WatchLag is the delay until watches see a change.
	WatchLag configurator.Duration `json:"watchLag"`
	// RepeatEvents is the number of upcoming watches that answer at once with a version that is not above theirs.
	RepeatEvents int `json:"repeatEvents"`
}

// Calls counts calls by kind; a waiting watch counts as one.
type Calls struct {
	Get     uint64 `json:"get"`
	Put     uint64 `json:"put"`
	Watch   uint64 `json:"watch"`
	History uint64 `json:"history"`
	Hosts   uint64 `json:"hosts"`
}

// Total returns the number of all calls.
func (c Calls) Total() uint64 { return c.Get + c.Put + c.Watch + c.History + c.Hosts }

// Entry is a past or the current version of an object.
type Entry struct {
	Version uint64    `json:"version"`
	Time    time.Time `json:"time"`
	value   []byte
}

// Server is the stand-in of the store and implements http.Handler.
type Server struct {
	clock broker.Clock
	mux   *http.ServeMux

	mu      sync.Mutex
	version uint64
	objects map[string][]Entry // oldest first
	hosts   []broker.Host
	faults  Faults
	calls   Calls
	changed chan struct{} // closed and replaced on each change
}

// New returns an empty store.
func New(clock broker.Clock) *Server {
	s := &Server{
		clock:   clock,
		mux:     http.NewServeMux(),
		objects: map[string][]Entry{},
		hosts:   []broker.Host{},
		changed: make(chan struct{}),
	}
	s.mux.HandleFunc("GET /v1/objects/{key...}", s.handleGet)
	s.mux.HandleFunc("PUT /v1/objects/{key...}", s.handlePut)
	s.mux.HandleFunc("GET /v1/hosts", s.handleHosts)
	s.mux.HandleFunc("PUT /v1/hosts", controlHandler(s.SetHosts))
	s.mux.HandleFunc("PUT /v1/faults", controlHandler(s.SetFaults))
	s.mux.HandleFunc("GET /v1/calls", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Calls()) })
	return s
}

// ServeHTTP handles a request to the store.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(faults Faults) { s.update(func() { s.faults = faults }) }

// SetHosts replaces the host list.
func (s *Server) SetHosts(hosts []broker.Host) { s.update(func() { s.hosts = hosts }) }

// Calls returns the numbers of calls so far.
func (s *Server) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes a value unconditionally, as a client outside the test would, and returns its version.
func (s *Server) Put(key string, value []byte) (version uint64) {
	s.update(func() { version = s.write(key, value) })
	return version
}

// Current returns the current value and version of an object, or version zero if there is no object.
func (s *Server) Current(key string) ([]byte, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := latestEntry(s.objects[key])
	return entry.value, entry.Version
}

func (s *Server) update(apply func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	apply()
	close(s.changed)
	s.changed = make(chan struct{})
}

// write is called with s.mu held.
func (s *Server) write(key string, value []byte) uint64 {
	s.version++
	s.objects[key] = append(s.objects[key], Entry{Version: s.version, Time: s.clock.Now(), value: value})
	return s.version
}

// beginCall counts a call, waits for the latency and returns whether the store is up.
func (s *Server) beginCall(count func(*Calls)) bool {
	s.mu.Lock()
	count(&s.calls)
	latency := time.Duration(s.faults.Latency)
	s.mu.Unlock()
	if latency > 0 {
		<-time.After(latency)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.faults.Down
}

func (s *Server) handleGet(w http.ResponseWriter, r *http.Request) {
	key, query := r.PathValue("key"), r.URL.Query()
	switch {
	case query.Has("watch"):
		s.handleWatch(w, r, key)
		return
	case query.Has("history"):
		s.handleHistory(w, key)
		return
	}
	if !s.beginCall(func(c *Calls) { c.Get++ }) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.mu.Lock()
	entry := latestEntry(s.objects[key])
	if query.Has("version") {
		entry = findEntry(s.objects[key], query.Get("version"))
	}
	s.mu.Unlock()
	if entry.Version != 0 && r.Header.Get("If-None-Match") == etag(entry.Version) {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeEntry(w, entry)
}

func (s *Server) handleHistory(w http.ResponseWriter, key string) {
	if !s.beginCall(func(c *Calls) { c.History++ }) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.mu.Lock()
	entries := append([]Entry{}, s.objects[key]...)
	s.mu.Unlock()
	writeJSON(w, entries)
}

func (s *Server) handleHosts(w http.ResponseWriter, _ *http.Request) {
	if !s.beginCall(func(c *Calls) { c.Hosts++ }) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.mu.Lock()
	hosts := s.hosts
	s.mu.Unlock()
	writeJSON(w, hosts)
}

func (s *Server) handlePut(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxValueSize))
	if !s.beginCall(func(c *Calls) { c.Put++ }) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if err != nil {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	expected, ok := expectedVersion(r.Header)
	if !ok {
		w.WriteHeader(http.StatusPreconditionRequired)
		return
	}
	version, loseReply := uint64(0), false
	s.update(func() {
		if latestEntry(s.objects[r.PathValue("key")]).Version != expected {
			return
		}
		version = s.write(r.PathValue("key"), value)
		if loseReply = s.faults.LoseReplies > 0; loseReply {
			s.faults.LoseReplies--
		}
	})
	switch {
	case version == 0:
		w.WriteHeader(http.StatusPreconditionFailed)
	case loseReply:
		panic(http.ErrAbortHandler)
	default:
		w.Header().Set("ETag", etag(version))
	}
}

// expectedVersion returns the version that the write requires, zero if the object must not exist; ok is false if the
// headers state no valid condition.
func expectedVersion(header http.Header) (version uint64, ok bool) {
	if header.Get("If-None-Match") == "*" && header.Get("If-Match") == "" {
		return 0, true
	}
	version, err := strconv.ParseUint(strings.Trim(header.Get("If-Match"), `"`), 10, 64)
	return version, err == nil && version > 0
}

func etag(version uint64) string { return `"` + strconv.FormatUint(version, 10) + `"` }

func latestEntry(entries []Entry) Entry {
	if len(entries) == 0 {
		return Entry{}
	}
	return entries[len(entries)-1]
}

func findEntry(entries []Entry, version string) Entry {
	for _, entry := range entries {
		if strconv.FormatUint(entry.Version, 10) == version {
			return entry
		}
	}
	return Entry{}
}

func writeEntry(w http.ResponseWriter, entry Entry) {
	if entry.Version == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("ETag", etag(entry.Version))
	_, _ = w.Write(entry.value)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func controlHandler[T any](apply func(T)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var value T
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBody))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&value); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		apply(value)
	}
}
