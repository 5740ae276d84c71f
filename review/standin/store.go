package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// storeDelay is how long the store takes for an answer.
	storeDelay = 4 * time.Millisecond
	// storePage is the number of objects in one page of a listing.
	storePage = 500
	// storeHistory is how long the store keeps its events.
	storeHistory = 20 * time.Second
	// staleWatchDelay is how much later than an exact watch a stale one reports a change.
	staleWatchDelay = 50 * time.Millisecond
)

// object is one object of the store.
type object struct {
	Meta struct {
		Name            string   `json:"name"`
		Revision        uint64   `json:"revision"`
		Created         uint64   `json:"created"`
		Finalizers      []string `json:"finalizers"`
		DeletionPending bool     `json:"deletion_pending"`
	} `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type event struct {
	kind    string
	object  object
	deleted bool
	at      time.Time
}

// store is a stand-in of the platform's metadata store. It serves each host on a listener of its own, so that a host can
// be partitioned from it.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	events   []event
	dropped  uint64 // revision up to which the history is gone
	changed  chan struct{}
}

func newStore() *store {
	return &store{revision: 1, objects: map[string]map[string]object{}, changed: make(chan struct{})}
}

// put writes an object and returns the revision; unconditional, as the operator and the servers write.
func (s *store) put(kind, name string, spec any) uint64 {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set(kind, name, data).Meta.Revision
}

// remove deletes an object if it exists.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.objects[kind][name]; ok {
		s.delete(kind, name)
	}
}

// set writes an object; the caller holds mu.
func (s *store) set(kind, name string, spec json.RawMessage) object {
	current, exists := s.objects[kind][name]
	if exists && string(current.Spec) == string(spec) {
		return current
	}
	s.revision++
	if !exists {
		current.Meta.Name, current.Meta.Created, current.Meta.Finalizers = name, s.revision, []string{}
	}
	current.Meta.Revision, current.Spec = s.revision, spec
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][name] = current
	s.publish(event{kind: kind, object: current})
	return current
}

// delete removes an existing object; the caller holds mu.
func (s *store) delete(kind, name string) object {
	s.revision++
	gone := s.objects[kind][name]
	gone.Meta.Revision = s.revision
	delete(s.objects[kind], name)
	s.publish(event{kind: kind, object: gone, deleted: true})
	return gone
}

func (s *store) publish(added event) {
	added.at = time.Now()
	s.events = append(s.events, added)
	for len(s.events) > 0 && time.Since(s.events[0].at) > storeHistory {
		s.dropped = s.events[0].object.Meta.Revision
		s.events = s.events[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers one call.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(storeDelay)
	path, ok := strings.CutPrefix(r.URL.Path, "/objects/")
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	query := r.URL.Query()
	if after := query.Get("watch"); after != "" && r.Method == http.MethodGet && name == "" {
		s.watch(w, r, kind, after, query.Get("wait_ms"), query.Get("allow_stale") == "1")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch r.Method {
	case http.MethodGet:
		if name == "" {
			s.list(w, kind, query.Get("after"))
			return
		}
		current, exists := s.objects[kind][name]
		if !exists {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, http.StatusOK, current)
	case http.MethodPost, http.MethodPut:
		s.write(w, r.Method, kind, name, body)
	case http.MethodDelete:
		current, exists := s.objects[kind][name]
		switch stated := query.Get("revision"); {
		case !exists:
			w.WriteHeader(http.StatusNotFound)
		case stated != "" && stated != strconv.FormatUint(current.Meta.Revision, 10):
			reply(w, http.StatusConflict, current)
		default:
			reply(w, http.StatusOK, s.delete(kind, name))
		}
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

// write answers POST and PUT; the caller holds mu.
func (s *store) write(w http.ResponseWriter, method, kind, name string, body []byte) {
	var sent object
	if err := json.Unmarshal(body, &sent); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if method == http.MethodPost {
		name = sent.Meta.Name
	}
	current, exists := s.objects[kind][name]
	switch {
	case method == http.MethodPost && exists:
		reply(w, http.StatusConflict, current)
	case method == http.MethodPut && !exists:
		w.WriteHeader(http.StatusNotFound)
	case method == http.MethodPut && sent.Meta.Revision != 0 && sent.Meta.Revision != current.Meta.Revision:
		reply(w, http.StatusConflict, current)
	default:
		reply(w, http.StatusOK, s.set(kind, name, sent.Spec))
	}
}

// list answers with one page of a kind; the caller holds mu.
func (s *store) list(w http.ResponseWriter, kind, after string) {
	items := make([]object, 0, len(s.objects[kind]))
	for name, item := range s.objects[kind] {
		if name > after {
			items = append(items, item)
		}
	}
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Meta.Name, b.Meta.Name) })
	page := items[:min(len(items), storePage)]
	reply(w, http.StatusOK, map[string]any{"items": page, "has_more": len(items) > storePage, "at": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind, text, waitText string, stale bool) {
	after, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	waitMs, _ := strconv.Atoi(waitText)
	timeout := time.NewTimer(time.Duration(min(waitMs, 30_000)) * time.Millisecond)
	defer timeout.Stop()
	for last := false; ; {
		s.mu.Lock()
		if after < s.dropped {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []map[string]any{}
		for _, each := range s.events {
			if each.kind == kind && each.object.Meta.Revision > after {
				events = append(events, map[string]any{"object": each.object, "deleted": each.deleted})
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || last {
			if stale {
				time.Sleep(staleWatchDelay)
			}
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// link is the way of one host to the store. While it is cut, nothing passes in either direction.
type link struct {
	address string
	target  string

	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]bool
	polls chan struct{} // receives when the store has answered a stale watch of the configuration
}

// newLink serves the store on a new address and forwards another new address to it.
func newLink(s *store, address string) (*link, error) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{address: address, target: inner.Addr().String(), conns: map[net.Conn]bool{}, polls: make(chan struct{}, 1)}
	go func() {
		_ = http.Serve(inner, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			s.ServeHTTP(w, r)
			if strings.HasSuffix(r.URL.Path, "/config") && r.URL.Query().Get("allow_stale") != "" {
				select {
				case l.polls <- struct{}{}:
				default:
				}
			}
		}))
	}()
	outer, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			conn, err := outer.Accept()
			if err != nil {
				return
			}
			go l.forward(conn)
		}
	}()
	return l, nil
}

// awaitPoll waits until the host has got the answer to its next stale watch of the configuration.
func (l *link) awaitPoll() {
	select {
	case <-l.polls:
	default:
	}
	<-l.polls
	time.Sleep(20 * time.Millisecond)
}

func (l *link) forward(client net.Conn) {
	server, err := net.Dial("tcp", l.target)
	if err != nil {
		_ = client.Close()
		return
	}
	l.mu.Lock()
	l.conns[client], l.conns[server] = true, true
	l.mu.Unlock()
	var ended sync.Once
	end := func() {
		ended.Do(func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			delete(l.conns, client)
			delete(l.conns, server)
			_, _ = client.Close(), server.Close()
		})
	}
	go l.pass(client, server, end)
	l.pass(server, client, end)
}

// pass copies bytes, and drops them while the link is cut: the connection is silent from then on, also after the cut.
func (l *link) pass(from, to net.Conn, end func()) {
	buffer := make([]byte, 64<<10)
	silent := false
	for {
		n, err := from.Read(buffer)
		l.mu.Lock()
		silent = silent || l.cut
		l.mu.Unlock()
		if err != nil {
			if !silent {
				end()
			}
			return
		}
		if silent {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			end()
			return
		}
	}
}

// setCut cuts or heals the link. Connections on which bytes were lost are reset when it heals.
func (l *link) setCut(cut bool) {
	l.mu.Lock()
	l.cut = cut
	var conns []net.Conn
	if !cut {
		for conn := range l.conns {
			conns = append(conns, conn)
		}
	}
	l.mu.Unlock()
	for _, conn := range conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}
