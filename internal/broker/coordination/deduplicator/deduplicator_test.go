package deduplicator

import (
	"encoding/binary"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/yuccarock/yuccarock/internal/broker"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// idAt returns a UUIDv7 with the given creation time; n distinguishes IDs with the same time.
func idAt(at time.Time, n byte) string {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(at.UnixMilli())<<16)
	id[6], id[8], id[15] = 0x70, 0x80, n
	return id.String()
}

// newOpen returns a claim point of shard s1 whose fence is long before epoch.
func newOpen(options Options) *Deduplicator {
	d := New(options)
	d.Fence("intake", "s1", epoch.Add(-time.Hour))
	return d
}

func claimed(t *testing.T, d *Deduplicator, id string, now time.Time) Decision {
	t.Helper()
	decision, err := d.Claim("intake", "s1", id, now)
	if err != nil {
		t.Fatal(err)
	}
	return decision
}

// TestClaim guards against a second execution of a request whose ID is repeated, delayed, too old or claimed before a
// takeover, and against refusing IDs that are certainly new.
func TestClaim(t *testing.T) {
	const window = 10 * time.Minute
	tests := []struct {
		name    string
		prepare func(d *Deduplicator, id string)
		created time.Duration // age of the ID at the claim
		want    DecisionKind
		reason  broker.Reason
	}{
		{"new", nil, 0, DecisionRun, ""},
		{"from a clock ahead", nil, -time.Second, DecisionRun, ""},
		{"old but in the window", nil, window, DecisionRun, ""},
		{"older than the window", nil, window + time.Millisecond, DecisionUnknown, broker.ReasonExpiredID},
		{"in progress", func(d *Deduplicator, id string) {
			_, _ = d.Claim("intake", "s1", strings.ToUpper(id), epoch)
		}, 0, DecisionUnknown, broker.ReasonDuplicate},
		{"in progress until the end of the window", func(d *Deduplicator, id string) {
			_, _ = d.Claim("intake", "s1", id, epoch.Add(-window))
		}, window, DecisionUnknown, broker.ReasonDuplicate},
		{"finished", func(d *Deduplicator, id string) {
			_, _ = d.Claim("intake", "s1", id, epoch)
			d.Finish("intake", "s1", id, &broker.Answer{Status: broker.StatusComplete})
		}, 0, DecisionAnswer, ""},
		{"finished as outcomeUnknown", func(d *Deduplicator, id string) {
			_, _ = d.Claim("intake", "s1", id, epoch)
			d.Finish("intake", "s1", id, &broker.Answer{Status: broker.StatusOutcomeUnknown})
		}, 0, DecisionUnknown, broker.ReasonDuplicate},
		{"finished as notRun", func(d *Deduplicator, id string) {
			_, _ = d.Claim("intake", "s1", id, epoch)
			d.Finish("intake", "s1", id, &broker.Answer{Status: broker.StatusNotRun})
		}, 0, DecisionRun, ""},
		{"before the takeover", func(d *Deduplicator, _ string) { d.Fence("intake", "s1", epoch) },
			-time.Second + time.Millisecond, DecisionUnknown, broker.ReasonFenced},
		{"after the takeover", func(d *Deduplicator, _ string) { d.Fence("intake", "s1", epoch.Add(-time.Second)) },
			0, DecisionRun, ""},
		{"takeover of another shard", func(d *Deduplicator, _ string) { d.Fence("intake", "s2", epoch) },
			0, DecisionRun, ""},
		{"handed over to another node", func(d *Deduplicator, _ string) { d.Export("intake", "s1", epoch) },
			0, DecisionElsewhere, broker.ReasonNotOwner},
		{"no room", func(d *Deduplicator, _ string) { d.options.Claims = 0 },
			0, DecisionNotRun, broker.ReasonOverloaded},
	}
	for _, tt := range tests {
		d := newOpen(DefaultOptions())
		id := idAt(epoch.Add(-tt.created), 1)
		if tt.prepare != nil {
			tt.prepare(d, id)
		}
		if got := claimed(t, d, id, epoch); got.Kind != tt.want || got.Reason != tt.reason {
			t.Errorf("%s: got %d %q, want %d %q", tt.name, got.Kind, got.Reason, tt.want, tt.reason)
		}
	}
}

// TestMalformedIDs guards against request IDs without a reliable creation time.
func TestMalformedIDs(t *testing.T) {
	tests := []struct {
		id   string
		want Kind
	}{
		{"", KindMalformed},
		{"r1", KindMalformed},
		{"6ba7b810-9dad-41d1-80b4-00c04fd430c8", KindMalformed}, // version 4
		{idAt(epoch.Add(time.Second+time.Millisecond), 1), KindFuture},
	}
	for _, tt := range tests {
		var own *Error
		_, err := New(DefaultOptions()).Claim("intake", "s1", tt.id, epoch)
		if !errors.As(err, &own) || own.Kind != tt.want {
			t.Errorf("%q: got %v, want kind %s", tt.id, err, tt.want)
		}
	}
}

// TestHandover guards against a second execution after a planned change of the claim point, which passes on the claims
// with their answers, and against a delayed handover that moves back the fence of a later takeover.
func TestHandover(t *testing.T) {
	first, second := newOpen(DefaultOptions()), New(DefaultOptions())
	finished, running, fresh := idAt(epoch, 1), idAt(epoch, 2), idAt(epoch, 3)
	claimed(t, first, finished, epoch)
	claimed(t, first, running, epoch)
	first.Finish("intake", "s1", finished, &broker.Answer{RequestID: finished, Status: broker.StatusComplete})
	exported := first.Export("intake", "s1", epoch.Add(time.Second))
	if got := claimed(t, first, running, epoch.Add(time.Second)); got.Kind != DecisionUnknown {
		t.Errorf("running at the node that handed over: got %d, want %d", got.Kind, DecisionUnknown)
	}
	second.Import(exported, epoch.Add(time.Second))
	if got := claimed(t, second, finished, epoch.Add(time.Second)); got.Kind != DecisionAnswer ||
		got.Answer.RequestID != finished {
		t.Errorf("finished before the handover: got %+v, want its answer", got)
	}
	for id, want := range map[string]DecisionKind{running: DecisionUnknown, fresh: DecisionRun} {
		if got := claimed(t, second, id, epoch.Add(time.Second)); got.Kind != want {
			t.Errorf("%s after the handover: got %d, want %d", id, got.Kind, want)
		}
	}
	third := New(DefaultOptions())
	third.Fence("intake", "s1", epoch.Add(time.Minute))
	third.Import(exported, epoch.Add(time.Minute))
	if got := claimed(t, third, fresh, epoch.Add(time.Minute)); got.Reason != broker.ReasonFenced {
		t.Errorf("claimed by a node in between: got %d %q, want reason %q", got.Kind, got.Reason, broker.ReasonFenced)
	}
}

// TestBounds guards against unbounded memory use: answers are dropped first, claims only when older than the window.
func TestBounds(t *testing.T) {
	options := DefaultOptions()
	options.AnswerBytes = 1000
	d := newOpen(options)
	answer := &broker.Answer{Status: broker.StatusComplete, Entries: []string{strings.Repeat("e", 300)}}
	for n := range byte(10) {
		claimed(t, d, idAt(epoch, n), epoch)
		d.Finish("intake", "s1", idAt(epoch, n), answer)
	}
	claims, bytes := d.Len()
	if claims != 10 || bytes == 0 || bytes > options.AnswerBytes {
		t.Errorf("got %d claims and %d bytes, want 10 and at most %d", claims, bytes, options.AnswerBytes)
	}
	if got := claimed(t, d, idAt(epoch, 0), epoch); got.Kind != DecisionUnknown {
		t.Errorf("ID whose answer was dropped: got %d, want %d", got.Kind, DecisionUnknown)
	}
	if got := claimed(t, d, idAt(epoch, 9), epoch); got.Kind != DecisionAnswer {
		t.Errorf("ID with the newest answer: got %d, want %d", got.Kind, DecisionAnswer)
	}
	later := epoch.Add(options.Window + time.Millisecond)
	claimed(t, d, idAt(later, 1), later)
	if claims, bytes := d.Len(); claims != 1 || bytes != 0 || len(d.answers) != 0 {
		t.Errorf("after the window: got %d claims and %d bytes, want 1 and 0", claims, bytes)
	}
}

// BenchmarkClaim measures the claim of a new request ID among the claims of a window.
func BenchmarkClaim(b *testing.B) {
	d := newOpen(DefaultOptions())
	now := epoch
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(10 * time.Millisecond)
		if _, err := d.Claim("intake", "s1", idAt(now, 1), now); err != nil {
			b.Fatal(err)
		}
	}
}
