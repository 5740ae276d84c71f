package backendserver

import (
	"maps"
	"time"
)

// Record is what a stand-in has seen since it was made, across all its boots.
type Record struct {
	// Started is the number of requests that began to run, Answered the number that were answered in full.
	Started  int `json:"started"`
	Answered int `json:"answered"`
	// Abandoned is the number of requests that began to run and were cancelled, overtaken by their deadline or cut
	// off by a crash.
	Abandoned int `json:"abandoned"`
	// Refused counts requests and connections that did not run, by reason.
	Refused map[string]int `json:"refused"`
	// MaxConcurrency is the largest number of requests present at once, MaxColdConcurrency the same while cold.
	MaxConcurrency     int `json:"maxConcurrency"`
	MaxColdConcurrency int `json:"maxColdConcurrency"`
	// MaxConnections is the largest number of connections open at once, those closed at accept included.
	MaxConnections int `json:"maxConnections"`
	// Boots is the number of boot IDs used, Crashes the number of those that ended in a crash.
	Boots   int `json:"boots"`
	Crashes int `json:"crashes"`
	// LastArrival is when the last request arrived, whether it ran or not.
	LastArrival time.Time `json:"lastArrival"`
	// LastTraceParent is the traceparent header of the last request that had one.
	LastTraceParent string `json:"lastTraceParent,omitempty"`
}

// Record returns a copy of what the server has seen.
func (s *Server) Record() Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := s.record
	record.Refused = maps.Clone(s.record.Refused)
	return record
}

// Executions returns how often a request of that ID began to run, over all shards; the oldest IDs are forgotten
// after half a million others.
func (s *Server) Executions(requestID string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executions[requestID] + s.olderExecutions[requestID]
}

// noteStart counts an execution; the caller holds the lock.
func (s *Server) noteStart(requestID string) {
	s.record.Started++
	if len(s.executions) >= recordLimit {
		s.olderExecutions, s.executions = s.executions, make(map[string]int)
	}
	s.executions[requestID]++
}

func (s *Server) noteRefusal(reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.Refused[reason]++
}
