package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's store: objects by kind and name, watches, and conditional writes.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]storedObject
	events   []storedEvent
	changed  chan struct{} // closed and replaced at each change
}

type objectMeta struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
}

type storedObject struct {
	Meta   objectMeta      `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type storedEvent struct {
	kind     string
	revision uint64
	Object   storedObject `json:"object"`
	Deleted  bool         `json:"deleted"`
}

func newStore() *store {
	return &store{revision: 1, objects: map[string]map[string]storedObject{}, changed: make(chan struct{})}
}

// serve answers calls at a loopback address until the process ends.
func (s *store) serve(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(listener, s) }()
	return nil
}

// write creates or replaces an object, as operators and backend servers do.
func (s *store) write(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err) // the specs of this program can be encoded
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(kind, name, data)
}

// set creates, replaces or, without data, deletes an object; the caller holds mu.
func (s *store) set(kind, name string, data json.RawMessage) storedObject {
	known, exists := s.objects[kind][name]
	if exists && data != nil && string(known.Spec) == string(data) {
		return known
	}
	s.revision++
	next := storedObject{Meta: objectMeta{Name: name, Revision: s.revision, Created: known.Meta.Created}, Spec: data}
	if !exists {
		next.Meta.Created = s.revision
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]storedObject{}
	}
	if data == nil {
		next.Spec = known.Spec
		delete(s.objects[kind], name)
	} else {
		s.objects[kind][name] = next
	}
	s.events = append(s.events, storedEvent{kind: kind, revision: s.revision, Object: next, Deleted: data == nil})
	close(s.changed)
	s.changed = make(chan struct{})
	return next
}

// ServeHTTP answers one call.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		found, ok := s.objects[kind][name]
		s.mu.Unlock()
		reply(w, ok, found)
	default:
		s.change(w, r, kind, name)
	}
}

// change makes a write call.
func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string) {
	var sent struct {
		Meta objectMeta      `json:"meta"`
		Spec json.RawMessage `json:"spec"`
	}
	data, _ := io.ReadAll(r.Body)
	_ = json.Unmarshal(data, &sent)
	condition := sent.Meta.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		condition, _ = strconv.ParseUint(text, 10, 64)
	}
	if r.Method == http.MethodPost {
		name = sent.Meta.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	known, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && exists, exists && condition != 0 && condition != known.Meta.Revision:
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(known)
	case r.Method == http.MethodPost:
		reply(w, true, s.set(kind, name, sent.Spec))
	case !exists:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodDelete:
		reply(w, true, s.set(kind, name, nil))
	case strings.HasSuffix(name, "/status"):
		reply(w, true, known)
	default:
		reply(w, true, s.set(kind, name, sent.Spec))
	}
}

// list answers with all objects of a kind.
func (s *store) list(w http.ResponseWriter, _ *http.Request, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := make([]string, 0, len(s.objects[kind]))
	for name := range s.objects[kind] {
		names = append(names, name)
	}
	sort.Strings(names)
	items := make([]storedObject, 0, len(names))
	for _, name := range names {
		items = append(items, s.objects[kind][name])
	}
	reply(w, true, map[string]any{"items": items, "has_more": false, "at": s.revision})
}

// watch answers with the changes of a kind after a revision once there is one, or without any after the wait.
func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer end.Stop()
	for ended := false; ; {
		s.mu.Lock()
		found := []storedEvent{}
		for _, event := range s.events {
			if event.kind == kind && event.revision > after {
				found = append(found, event)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(found) > 0 || ended {
			reply(w, true, map[string]any{"events": found, "at": revision})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

func reply(w http.ResponseWriter, found bool, body any) {
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
