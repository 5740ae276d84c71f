package broker

import (
	"testing"
	"time"
)

// TestServerNames guards against two processes of servers with one name, of which a host would use one and take the state of the
// other for it: with an ID that is the name of another process, or with start times of different days.
func TestServerNames(t *testing.T) {
	start := time.Date(2026, 12, 7, 15, 4, 5, 0, time.UTC)
	processes := []Registration{
		{ID: "i"}, {ID: "i", StartedAt: start}, {ID: "i", StartedAt: start.Add(time.Millisecond)},
		{ID: "i", StartedAt: start.AddDate(0, 0, 1)}, {ID: "i", StartedAt: time.UnixMilli(0)},
		{ID: "i@"}, {ID: "i@", StartedAt: start}, {ID: "i@@"}, {ID: "@i"}, {ID: "@"}, {ID: "@@"},
		{ID: "i@150405.000"}, {ID: "i@150405.000", StartedAt: start}, {ID: "i/150405.000"},
	}
	for _, process := range processes[1:5] { // IDs that are names of other processes
		name := string(process.Name())
		processes = append(processes, Registration{ID: name}, Registration{ID: name + "x"}, Registration{ID: name + "@"})
	}
	seen := map[ServerName]Registration{}
	for _, process := range processes {
		name := process.Name()
		if other, ok := seen[name]; ok && !other.Equal(process) {
			t.Errorf("name %q: got the processes %q since %v and %q since %v, want one",
				name, other.ID, other.StartedAt, process.ID, process.StartedAt)
		}
		seen[name] = process
	}
}
