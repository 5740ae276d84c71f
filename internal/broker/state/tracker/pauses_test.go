package tracker

import (
	"testing"
	"time"
)

// TestPausePrediction checks that pauses are predicted once several servers have the same period, at the time of each
// server. Long requests at random times must not lead to a prediction, nor must a pause that was observed too many
// periods ago.
func TestPausePrediction(t *testing.T) {
	const period, pause, typical = 3 * time.Second, 120 * time.Millisecond, 10 * time.Millisecond
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	tests := []struct {
		name  string
		ends  []time.Duration // of slow answers of the server under test
		at    time.Duration
		want  bool // whether a wait is predicted
		other bool // whether other servers have the period
	}{
		{name: "no pause observed", at: 5900 * time.Millisecond, other: true},
		{name: "one pause and period of other servers", ends: []time.Duration{3 * time.Second}, at: 5950 * time.Millisecond,
			want: true, other: true},
		{name: "before the pause", ends: []time.Duration{3 * time.Second}, at: 5800 * time.Millisecond, other: true},
		{name: "after the pause", ends: []time.Duration{3 * time.Second}, at: 6020 * time.Millisecond, other: true},
		{name: "several periods later", ends: []time.Duration{3 * time.Second}, at: 17950 * time.Millisecond, want: true,
			other: true},
		{name: "many periods later", ends: []time.Duration{3 * time.Second}, at: 59950 * time.Millisecond, other: true},
		{name: "long request in between", ends: []time.Duration{3 * time.Second, 4100 * time.Millisecond},
			at: 5950 * time.Millisecond, want: true, other: true},
		{name: "random times", ends: []time.Duration{time.Second, 1700 * time.Millisecond, 4 * time.Second,
			4900 * time.Millisecond, 9 * time.Second}, at: 9850 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var estimator periodEstimator
			if tt.other {
				for server := range 3 {
					other := pausePredictor{estimator: &estimator}
					for i := range 4 {
						other.observe(start.Add(time.Duration(i)*period+time.Duration(server)*time.Second/7), pause)
					}
				}
			}
			predictor := pausePredictor{estimator: &estimator}
			for _, end := range tt.ends {
				predictor.observe(start.Add(end), pause)
			}
			if got := predictor.expectedWait(start.Add(tt.at), typical) > 0; got != tt.want {
				t.Errorf("got wait predicted %v, want %v", got, tt.want)
			}
		})
	}
}
