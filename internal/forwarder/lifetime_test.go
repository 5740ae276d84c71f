package forwarder

import (
	"testing"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
)

// TestAddressLifetime plays callers that send a request each 0.5 s and use addresses for their lifetime. It guards
// against callers that ask for addresses before most of their requests although no host changes, and against callers
// that keep the address of a lost host for long while hosts are lost in series.
func TestAddressLifetime(t *testing.T) {
	const interval, day = 500 * time.Millisecond, 60 * time.Second
	tests := []struct {
		name         string
		changes      time.Duration // pause between changes of the serving hosts, zero for none
		wantLookUps  int           // of 120 requests, at most
		wantLifetime time.Duration // at most, at a change
	}{
		{name: "no change", wantLookUps: 20, wantLifetime: maxAddressLifetime},
		{name: "a change each 2 s", changes: 2 * time.Second, wantLookUps: 60, wantLifetime: time.Second},
		{name: "a change each 20 s", changes: 20 * time.Second, wantLookUps: 30, wantLifetime: maxAddressLifetime},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			started := time.Unix(1_800_000_000, 0)
			var lifetime addressLifetime
			hosts := []broker.HostRecord{{Name: "a"}, {Name: "b"}}
			var validUntil, changeAt time.Time
			lookUps := 0
			for now := started; now.Before(started.Add(day)); now = now.Add(interval) {
				if tt.changes > 0 && !now.Before(changeAt) {
					if got := lifetime.current(now); got > tt.wantLifetime {
						t.Errorf("lifetime at a change after %s: got %s, want at most %s", now.Sub(started), got, tt.wantLifetime)
					}
					hosts[0].Process, changeAt = now.String(), now.Add(tt.changes)
				}
				lifetime.observe(hosts, now)
				if !now.Before(validUntil) {
					lookUps++
					validUntil = now.Add(lifetime.current(now))
				}
			}
			if lookUps > tt.wantLookUps {
				t.Errorf("look-ups: got %d, want at most %d", lookUps, tt.wantLookUps)
			}
		})
	}
}

// TestAddressLifetimeNames guards against a change of the serving hosts that goes unnoticed because their names can be read in
// two ways.
func TestAddressLifetimeNames(t *testing.T) {
	started := time.Unix(1_800_000_000, 0)
	tests := []struct {
		name          string
		before, after []broker.HostRecord
	}{
		{"a slash", []broker.HostRecord{{Name: "a/b", Process: "c"}}, []broker.HostRecord{{Name: "a", Process: "b/c"}}},
		{"a space", []broker.HostRecord{{Name: "a", Process: "1"}, {Name: "b", Process: "2"}}, []broker.HostRecord{{Name: "a", Process: "1 b/2"}}},
		{"no names", []broker.HostRecord{{}, {}}, []broker.HostRecord{{Process: " /"}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var lifetime addressLifetime
			lifetime.observe(tt.before, started)
			now := started.Add(time.Minute)
			lifetime.observe(tt.after, now)
			if got := lifetime.current(now); got != minAddressLifetime {
				t.Errorf("lifetime at the change: got %s, want %s", got, minAddressLifetime)
			}
		})
	}
}
