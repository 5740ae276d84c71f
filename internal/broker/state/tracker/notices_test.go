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

// TestCountNotices guards against metrics that count a server after what it stated has ended.
func TestCountNotices(t *testing.T) {
	tests := []struct {
		name   string
		notice broker.ServerNotice
		after  time.Duration
		want   NoticeCounts
	}{
		{"nothing stated", broker.ServerNotice{}, 0, NoticeCounts{}},
		{"limit", broker.ServerNotice{Limited: true}, time.Hour, NoticeCounts{Limited: 1}},
		{"pause", broker.ServerNotice{RetryAfter: time.Minute}, time.Second, NoticeCounts{Paused: 1}},
		{"end of the pause", broker.ServerNotice{RetryAfter: time.Minute}, time.Minute, NoticeCounts{}},
		{"leaving with a limit", broker.ServerNotice{Leaving: true, Limited: true}, time.Hour, NoticeCounts{Limited: 1, Leaving: 1}},
	}
	for _, tt := range tests {
		tracked := New()
		tracked.ensureServer("other")
		tracked.ensureServer("s1").ReportNotice(tt.notice, epoch, epoch)
		if got := tracked.CountNotices(epoch.Add(tt.after)); got != tt.want {
			t.Errorf("%s: got %+v, want %+v", tt.name, got, tt.want)
		}
	}
}
