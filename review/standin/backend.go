package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeat is how often a backend writes its entry.
const heartbeat = 1200 * time.Millisecond

// backend is a stand-in of a backend server.
type backend struct {
	id, service, zone, address string

	system   *system
	work     time.Duration
	slots    chan struct{}
	server   *http.Server
	born     int64
	seq      atomic.Int64
	draining atomic.Bool
	stopped  chan struct{}
	stop     sync.Once
	serial   atomic.Int64
}

// newBackend starts a backend and registers it in the store.
func (s *system) newBackend(service, zone string, slots int, work time.Duration) (*backend, error) {
	listener, err := net.Listen("tcp", s.ip(200)+":0")
	if err != nil {
		return nil, err
	}
	b := &backend{
		id: fmt.Sprintf("i-%08x", rand.Uint32()), service: service, zone: zone, address: listener.Addr().String(),
		system: s, work: work, slots: make(chan struct{}, slots), born: time.Now().UnixMilli(),
		stopped: make(chan struct{}),
	}
	b.server = &http.Server{Handler: b}
	go func() { _ = b.server.Serve(listener) }()
	b.beat()
	go func() {
		for {
			select {
			case <-b.stopped:
				return
			case <-time.After(heartbeat):
				b.beat()
			}
		}
	}()
	s.backends = append(s.backends, b)
	return b, nil
}

// beat writes the entry of the backend.
func (b *backend) beat() {
	state := "ready"
	if b.draining.Load() {
		state = "draining"
	}
	b.system.store.put("servers", b.id, map[string]any{
		"service": b.service, "address": b.address, "zone": b.zone, "version": "v1", "concurrency": cap(b.slots),
		"state": state, "warmup_left_ms": 0, "seq": b.seq.Add(1), "born": b.born,
	})
}

// drain reports that the backend is leaving and returns when the store has accepted that.
func (b *backend) drain() time.Time {
	b.draining.Store(true)
	b.beat()
	return time.Now()
}

// exit ends the backend as its process would end: its entry is removed and its connections are closed.
func (b *backend) exit() {
	b.stop.Do(func() {
		close(b.stopped)
		_ = b.server.Close()
		b.system.store.remove("servers", b.id)
	})
}

// ServeHTTP runs one request.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if b.draining.Load() {
		w.Header().Set("Connection", "close")
		w.Header().Set("Server-Leaving", "1")
	}
	if r.URL.Path == "/healthz" {
		w.Header().Set("X-Instance-Id", b.id)
		if b.draining.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if r.Header.Get("X-Expect-Instance") != b.id {
		w.Header().Set("X-Instance-Id", b.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	b.system.record.arrived(id, b)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	select {
	case b.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	case <-time.After(2 * time.Second):
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-b.slots }()
	b.system.record.line("run begins  %s at %s (%s, %s), body of %d bytes", id, b.id, b.service, b.zone, len(body))
	select {
	case <-time.After(b.work):
	case <-r.Context().Done():
		b.system.record.line("run cut off %s at %s: its connection is gone", id, b.id)
		return
	case <-b.stopped:
		b.system.record.line("run cut off %s at %s: the backend has ended", id, b.id)
		return
	}
	b.system.record.line("run ends    %s at %s", id, b.id)
	w.Header().Set("X-Server-Stamp", fmt.Sprintf("%s.%x.%s", b.id, b.serial.Add(1), id))
	answer := make([]byte, 0, 64)
	for range 4 {
		answer = fmt.Appendf(answer, "%016x", rand.Uint64())
	}
	_, _ = w.Write(answer)
}

// shutdown ends all backends.
func (s *system) shutdown() {
	for _, b := range s.backends {
		b.stop.Do(func() {
			close(b.stopped)
			ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
			defer cancel()
			_ = b.server.Shutdown(ctx)
			_ = b.server.Close()
		})
	}
}
