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
	if !s.begin(func(c *Calls) { c.Watch++ }) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		seen := s.look(key, version)
		switch {
		case seen.down:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case seen.entry.Version > 0:
			writeEntry(w, seen.entry)
			return
		}
		select {
		case <-seen.changed:
		case <-seen.visible:
		case <-end.C:
			w.Header().Set("ETag", tag(version))
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// sight is what a watch sees at one moment.
type sight struct {
	entry   Entry // the event, with version zero where there is none
	down    bool
	changed <-chan struct{}
	visible <-chan time.Time // fires when a change that lags becomes visible; nil without one
}

func (s *Server) look(key string, version uint64) sight {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := sight{down: s.faults.Down, changed: s.changed}
	now, lag := s.clock.Now(), time.Duration(s.faults.WatchLag)
	for _, entry := range s.objects[key] {
		if age := now.Sub(entry.Time); age < lag {
			seen.visible = time.After(lag - age)
			break
		}
		if entry.Version > version {
			seen.entry = entry
		}
	}
	if current := last(s.objects[key]); s.faults.RepeatEvents > 0 && current.Version > 0 && !seen.down {
		s.faults.RepeatEvents--
		seen.entry = find(s.objects[key], strconv.FormatUint(min(version, current.Version), 10))
	}
	return seen
}
