package main

import (
	"encoding/json"
	"net/http"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the store.
type object struct {
	Meta   objectMeta `json:"meta"`
	Spec   any        `json:"spec"`
	Status any        `json:"status"`
}

type objectMeta struct {
	Name            string   `json:"name"`
	Revision        uint64   `json:"revision"`
	Created         uint64   `json:"created"`
	Finalizers      []string `json:"finalizers"`
	DeletionPending bool     `json:"deletion_pending"`
}

type event struct {
	kind     string
	revision uint64
	object   object
	deleted  bool
}

// pageSize is the number of objects in one page of a listing.
const pageSize = 500

// store is a stand-in of the platform's store: objects by kind and name, watches with the whole history, no limits of
// rates. Its answers are exact, also those that may be old.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	history  []event
	changed  chan struct{}
}

func newStore() *store {
	return &store{revision: 1, objects: map[string]map[string]object{}, changed: make(chan struct{})}
}

// put creates or replaces an object and returns the time at which the store has accepted it.
func (s *store) put(kind, name string, spec any) time.Time {
	data, _ := json.Marshal(spec)
	var plain any
	_ = json.Unmarshal(data, &plain)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, object{Meta: objectMeta{Name: name}, Spec: plain})
	return time.Now()
}

// drop removes an object.
func (s *store) drop(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if current, ok := s.objects[kind][name]; ok {
		delete(s.objects[kind], name)
		s.revision++
		s.record(event{kind: kind, revision: s.revision, object: current, deleted: true})
	}
}

// write stores an object unless it is unchanged; the caller holds mu.
func (s *store) write(kind string, next object) object {
	byName := s.objects[kind]
	if byName == nil {
		byName = map[string]object{}
		s.objects[kind] = byName
	}
	current, exists := byName[next.Meta.Name]
	if exists && reflect.DeepEqual(current.Spec, next.Spec) && slices.Equal(current.Meta.Finalizers, next.Meta.Finalizers) {
		return current
	}
	s.revision++
	next.Meta.Revision, next.Meta.Created = s.revision, s.revision
	if exists {
		next.Meta.Created, next.Status = current.Meta.Created, current.Status
	}
	byName[next.Meta.Name] = next
	s.record(event{kind: kind, revision: s.revision, object: next})
	return next
}

func (s *store) record(added event) {
	s.history = append(s.history, added)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, found := strings.CutPrefix(r.URL.Path, "/objects/")
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	switch {
	case r.Method == http.MethodGet && name == "" && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		s.get(w, kind, name)
	case r.Method == http.MethodPost && name == "", r.Method == http.MethodPut && name != "" && !strings.Contains(name, "/"):
		s.change(w, r, kind, name)
	case r.Method == http.MethodDelete && name != "":
		s.remove(w, r, kind, name)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	var names []string
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	more := len(names) > pageSize
	items := []object{}
	for _, name := range names[:min(len(names), pageSize)] {
		items = append(items, s.objects[kind][name])
	}
	revision := s.revision
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "at": revision})
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	found, ok := s.objects[kind][name]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, found)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for ended := false; ; {
		s.mu.Lock()
		events := []map[string]any{}
		for _, each := range s.history {
			if each.kind == kind && each.revision > after {
				events = append(events, map[string]any{"object": each.object, "deleted": each.deleted})
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || ended {
			answer(w, http.StatusOK, map[string]any{"events": events, "at": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string) {
	var next object
	if err := json.NewDecoder(r.Body).Decode(&next); err != nil || next.Meta.Name == "" || name != "" && next.Meta.Name != name {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	current, exists := s.objects[kind][next.Meta.Name]
	status := http.StatusOK
	switch {
	case r.Method == http.MethodPost && exists, exists && next.Meta.Revision > 0 && next.Meta.Revision != current.Meta.Revision:
		status, next = http.StatusConflict, current
	case r.Method == http.MethodPut && !exists:
		status = http.StatusNotFound
	default:
		next = s.write(kind, next)
	}
	s.mu.Unlock()
	if status == http.StatusNotFound {
		w.WriteHeader(status)
		return
	}
	answer(w, status, next)
}

func (s *store) remove(w http.ResponseWriter, r *http.Request, kind, name string) {
	revision, _ := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	s.mu.Lock()
	current, exists := s.objects[kind][name]
	conflict := exists && revision > 0 && revision != current.Meta.Revision
	if exists && !conflict {
		delete(s.objects[kind], name)
		s.revision++
		s.record(event{kind: kind, revision: s.revision, object: current, deleted: true})
	}
	s.mu.Unlock()
	switch {
	case !exists:
		w.WriteHeader(http.StatusNotFound)
	case conflict:
		answer(w, http.StatusConflict, current)
	default:
		answer(w, http.StatusOK, current)
	}
}
