package storeserver

import (
	"net/http"
	"strconv"
	"time"
)

func (s *Server) handleWatch(w http.ResponseWriter, r *http.Request, key string) {
	query := r.URL.Query()
	version, err := strconv.ParseUint(query.Get("watch"), 10, 64)
	wait, waitErr := time.ParseDuration(query.Get("wait"))
	if err != nil || waitErr != nil || wait < 0 || wait > maxWait {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !s.beginCall(func(c *Calls) { c.Watch++ }) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		view := s.viewObject(key, version)
		switch {
		case view.down:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case view.entry.Version > 0:
			writeEntry(w, view.entry)
			return
		}
		select {
		case <-view.changed:
		case <-view.visible:
		case <-end.C:
			w.Header().Set("ETag", etag(version))
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// watchView is the state of an object as a watch sees it.
type watchView struct {
	entry   Entry // the version to send, Version zero if there is none
	down    bool
	changed <-chan struct{}
	visible <-chan time.Time // fires when the next delayed change becomes visible; nil without one
}

func (s *Server) viewObject(key string, version uint64) watchView {
	s.mu.Lock()
	defer s.mu.Unlock()
	view := watchView{down: s.faults.Down, changed: s.changed}
	now, lag := s.clock.Now(), time.Duration(s.faults.WatchLag)
	for _, entry := range s.objects[key] {
		if age := now.Sub(entry.Time); age < lag {
			view.visible = time.After(lag - age)
			break
		}
		if entry.Version > version {
			view.entry = entry
		}
	}
	if current := latestEntry(s.objects[key]); s.faults.RepeatEvents > 0 && current.Version > 0 && !view.down {
		s.faults.RepeatEvents--
		view.entry = findEntry(s.objects[key], strconv.FormatUint(min(version, current.Version), 10))
	}
	return view
}
