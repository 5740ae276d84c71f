package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeat is the interval at which backend servers write their entries.
const heartbeat = 1200 * time.Millisecond

// run is one request that a backend server began to work on.
type run struct {
	at                  time.Time
	id                  string
	service, instance   string
	method, path, query string
	body                string
	ended               bool // the answer was written before the connection closed
}

// runs records what all backend servers ran.
type runs struct {
	mu   sync.Mutex
	list []*run
}

func (r *runs) add(added *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, added)
}

// byID returns the runs of each client attempt.
func (r *runs) byID() map[string][]run {
	r.mu.Lock()
	defer r.mu.Unlock()
	grouped := map[string][]run{}
	for _, each := range r.list {
		grouped[each.id] = append(grouped[each.id], *each)
	}
	return grouped
}

// backend is a stand-in of a sound backend server.
type backend struct {
	service, id, address, zone string
	slots                      int
	work                       time.Duration // time that one request takes
	runs                       *runs
	// fails reports whether the server fails a request that it has run, and with which status; nil means that it never does.
	fails func(number int64) (status int, ok bool)

	slot    chan struct{}
	waiting atomic.Int64
	number  atomic.Int64
	born    int64
}

// start listens and registers the server in the store.
func (b *backend) start(s *store) error {
	b.slot, b.born = make(chan struct{}, b.slots), time.Now().UnixMilli()
	listener, err := net.Listen("tcp", b.address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: b, IdleTimeout: 30 * time.Second}
	go func() { _ = server.Serve(listener) }()
	go func() {
		for seq := 1; ; seq++ {
			s.write("servers", b.id, map[string]any{
				"service": b.service, "address": b.address, "zone": b.zone, "version": "v1", "concurrency": b.slots,
				"state": "ready", "warmup_left_ms": 0, "seq": seq, "born": b.born,
			})
			time.Sleep(heartbeat)
		}
	}()
	return nil
}

// ServeHTTP answers a status check or runs a request.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	if r.URL.Path == "/healthz" {
		w.Header().Set("X-Instance-Id", b.id)
		return
	}
	if id != "" {
		w.Header().Set("X-Attempt-Id", id)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != b.id {
		w.Header().Set("X-Instance-Id", b.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline, _ := strconv.Atoi(r.Header.Get("X-Deadline-Ms"))
	timer := time.NewTimer(time.Duration(deadline) * time.Millisecond)
	defer timer.Stop()
	if b.waiting.Add(1) > int64(8*b.slots) {
		b.waiting.Add(-1)
		b.refuse(w)
		return
	}
	select {
	case b.slot <- struct{}{}:
		b.waiting.Add(-1)
	case <-timer.C:
		b.waiting.Add(-1)
		b.refuse(w)
		return
	case <-r.Context().Done():
		b.waiting.Add(-1)
		return
	}
	defer func() { <-b.slot }()
	path, query, _ := strings.Cut(r.RequestURI, "?")
	ran := &run{
		at: time.Now(), id: id, service: b.service, instance: b.id, method: r.Method, path: path, query: query, body: string(body),
	}
	b.runs.add(ran)
	select {
	case <-time.After(b.work):
	case <-r.Context().Done():
		return
	}
	number := b.number.Add(1)
	w.Header().Set("X-Server-Stamp", fmt.Sprintf("%s.%s.%s", b.service, b.id, id))
	if b.fails != nil {
		if status, ok := b.fails(number); ok {
			w.WriteHeader(status)
			return
		}
	}
	// Three records of 16 bytes, and the service's name so that the answers of services differ.
	answer := bytes.Repeat([]byte(fmt.Sprintf("%-16.16s", b.service+id)), 3)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, err = w.Write(answer)
	ran.ended = err == nil
}

func (b *backend) refuse(w http.ResponseWriter) {
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// route is one route of the configuration.
type route map[string]any

// configure writes a version of the configuration.
func configure(s *store, version int, services []string, routes ...route) {
	list := make([]map[string]any, 0, len(services))
	for _, service := range services {
		list = append(list, map[string]any{"name": service, "health_path": "/healthz", "max_conns": 25, "warmup_s": 0, "warmup_per_s": 0})
	}
	s.write("config", "main", map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 5000, "idle_timeout_ms": 30000,
		},
	})
}

func encode(value any) string {
	data, err := json.Marshal(value)
	if err != nil {
		return err.Error()
	}
	return string(data)
}
