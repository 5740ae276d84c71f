package backendserver

import (
	"maps"
	"time"
)

// Record counts the events of a stand-in since its creation, over all its boots.
type Record struct {
	// Started is the number of requests that started to run, Answered the number of those that were answered in full.
	Started  int `json:"started"`
	Answered int `json:"answered"`
	// Abandoned is the number of requests that started to run but were cancelled, reached their deadline or were lost
	// in a crash.
	Abandoned int `json:"abandoned"`
	// Refused is the number of refused, cancelled and overdue requests and of refused connections, by reason.
	Refused map[string]int `json:"refused"`
	// MaxConcurrency is the largest number of concurrent requests, waiting ones included; MaxColdConcurrency is the
	// same while cold.
	MaxConcurrency     int `json:"maxConcurrency"`
	MaxColdConcurrency int `json:"maxColdConcurrency"`
	// MaxConnections is the largest number of open connections, those closed at accept included.
	MaxConnections int `json:"maxConnections"`
	// Boots is the number of boot IDs used, Crashes the number of those that ended in a crash.
	Boots   int `json:"boots"`
	Crashes int `json:"crashes"`
	// LastArrival is the time of the last request, whether it was refused or not.
	LastArrival time.Time `json:"lastArrival"`
	// LastTraceParent is the traceparent header of the last request that had one.
	LastTraceParent string `json:"lastTraceParent,omitempty"`
}

// Record returns a copy of the server's record.
func (s *Server) Record() Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := s.record
	record.Refused = maps.Clone(s.record.Refused)
	return record
}

// Executions returns how often the request started to run, over all shards. The count may be dropped after half a
// million other request IDs.
func (s *Server) Executions(requestID string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executions[requestID] + s.olderExecutions[requestID]
}

// recordExecution counts the start of an execution; the caller holds the lock.
func (s *Server) recordExecution(requestID string) {
	s.record.Started++
	if len(s.executions) >= maxExecutionIDs {
		s.olderExecutions, s.executions = s.executions, make(map[string]int)
	}
	s.executions[requestID]++
}

func (s *Server) recordRefusal(reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.Refused[reason]++
}
