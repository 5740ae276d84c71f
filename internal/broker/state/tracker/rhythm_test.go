package tracker

import (
	"testing"
	"time"
)

// TestRhythm guards the prediction of pauses: it is made once several servers showed the same period, for each server at
// its own time, not from long requests at random times, and no longer after the server was not seen to pause for long.
func TestRhythm(t *testing.T) {
	const period, pause, typical = 3 * time.Second, 120 * time.Millisecond, 10 * time.Millisecond
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	tests := []struct {
		name  string
		ends  []time.Duration // of slow answers of the server that is asked about
		at    time.Duration
		want  bool // a wait is predicted
		other bool // other servers have the period
	}{
		{name: "nothing seen", at: 5900 * time.Millisecond, other: true},
		{name: "one pause and the others' period", ends: []time.Duration{3 * time.Second}, at: 5950 * time.Millisecond,
			want: true, other: true},
		{name: "before the pause", ends: []time.Duration{3 * time.Second}, at: 5800 * time.Millisecond, other: true},
		{name: "after the pause", ends: []time.Duration{3 * time.Second}, at: 6020 * time.Millisecond, other: true},
		{name: "several periods later", ends: []time.Duration{3 * time.Second}, at: 17950 * time.Millisecond, want: true,
			other: true},
		{name: "many periods later", ends: []time.Duration{3 * time.Second}, at: 59950 * time.Millisecond, other: true},
		{name: "a long request between", ends: []time.Duration{3 * time.Second, 4100 * time.Millisecond},
			at: 5950 * time.Millisecond, want: true, other: true},
		{name: "random times", ends: []time.Duration{time.Second, 1700 * time.Millisecond, 4 * time.Second,
			4900 * time.Millisecond, 9 * time.Second}, at: 9850 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var common rhythm
			if tt.other {
				for server := range 3 {
					other := pauses{rhythm: &common}
					for i := range 4 {
						other.observe(start.Add(time.Duration(i)*period+time.Duration(server)*time.Second/7), pause)
					}
				}
			}
			asked := pauses{rhythm: &common}
			for _, end := range tt.ends {
				asked.observe(start.Add(end), pause)
			}
			if got := asked.left(start.Add(tt.at), typical) > 0; got != tt.want {
				t.Errorf("wait predicted: got %v, want %v", got, tt.want)
			}
		})
	}
}
