package tracker

import (
	"testing"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
)

// TestNoticeOrder guards against an answer that was under way for long, and replaces what a server stated since.
func TestNoticeOrder(t *testing.T) {
	limited := broker.ServerNotice{Limited: true, Limit: 3}
	tests := []struct {
		name   string
		sentAt time.Duration
		notice broker.ServerNotice
		want   broker.ServerNotice
	}{
		{"nothing stated", 0, broker.ServerNotice{}, broker.ServerNotice{}},
		{"limit", 2 * time.Second, limited, limited},
		{"answer to an earlier request", time.Second, broker.ServerNotice{}, limited},
		{"answer to a later request", 3 * time.Second, broker.ServerNotice{}, broker.ServerNotice{}},
		{"earlier limit", 2 * time.Second, limited, broker.ServerNotice{}},
	}
	server := newServer("s1", &periodEstimator{})
	for _, tt := range tests {
		server.ReportNotice(tt.notice, epoch.Add(tt.sentAt), epoch.Add(time.Minute))
		if got := server.Notice(); got != tt.want {
			t.Errorf("%s: got %+v, want %+v", tt.name, got, tt.want)
		}
	}
}

// TestLeavingServer guards against using a server again because a later answer does not state that it is leaving.
func TestLeavingServer(t *testing.T) {
	server := newServer("s1", &periodEstimator{})
	server.ReportNotice(broker.ServerNotice{Leaving: true}, epoch, epoch)
	for _, at := range []time.Duration{0, time.Second, time.Minute} {
		server.ReportNotice(broker.ServerNotice{}, epoch.Add(at), epoch.Add(at))
		if want := at >= leavingGrace; !server.Leaving() || server.HasLeft(epoch.Add(at)) != want {
			t.Errorf("after %s: got leaving %v, left %v; want leaving, left %v", at, server.Leaving(),
				server.HasLeft(epoch.Add(at)), want)
		}
	}
}
