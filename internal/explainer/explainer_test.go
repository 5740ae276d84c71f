package explainer

import (
	"strings"
	"testing"
	"time"
)

// TestCauses guards against losses that are put down to another cause than the host logged, and against counting
// requests that lost nothing.
func TestCauses(t *testing.T) {
	const prefix = ` 12.5 host-a {"time":"2026-12-04T10:00:01Z","msg":`
	tests := []struct {
		name      string
		log       string
		want      Cause
		wantWorth float64
	}{
		{name: "complete and in time", log: `"request","result":"complete","ms":50,"targetMs":80,"shards":20,"answered":20}`},
		{name: "other line", log: `"serving"}`},
		{name: "late", want: CauseSlowServers, wantWorth: 0.9,
			log: `"request","result":"complete","ms":90,"targetMs":80,"shards":20,"answered":20}`},
		{name: "budget spent", want: CauseBudget, wantWorth: 0.19,
			log: `"request","result":"partial","ms":50,"targetMs":80,"shards":10,"answered":9,"hedgesDenied":2,"missing":[{"reason":"deadline"}]}`},
		{name: "answers lost", want: CauseAnswersLost, wantWorth: 0.19,
			log: `"request","result":"partial","ms":50,"targetMs":80,"shards":10,"answered":9,"retriesDenied":1,"missing":[{"reason":"connectionLost"}]}`},
		{name: "starting host", want: CauseNoHost, wantWorth: 1, log: `"request refused","kind":"notRun","reason":"notReady"}`},
		{name: "no server", want: CauseNoServer, wantWorth: 1,
			log: `"request","result":"notRun","reason":"shed","shards":1,"answered":0}`},
		{name: "caller left", want: CauseCallerLeft, wantWorth: 1,
			log: `"request","result":"callerGone","reason":"cancelled","shards":20,"answered":3}`},
		{name: "unreachable", want: CauseUnreachable, wantWorth: 1,
			log: `"request","result":"outcomeUnknown","reason":"unreachable","shards":1,"answered":0}`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table, err := Read(strings.NewReader("not a log line\n"+prefix+tt.log+"\n"), 2*time.Second, 0.1)
			if err != nil {
				t.Fatal(err)
			}
			total := table.Total()
			if tt.want == "" {
				if len(total) != 0 {
					t.Errorf("losses: got %v, want none", total)
				}
				return
			}
			got := total[tt.want]
			if len(total) != 1 || got.Requests != 1 || got.Worth < tt.wantWorth-1e-9 || got.Worth > tt.wantWorth+1e-9 {
				t.Errorf("losses: got %v, want 1 request with worth %v by %s", total, tt.wantWorth, tt.want)
			}
		})
	}
}

// TestWrite guards against a table that hides the costliest cause or the lines that hosts left out.
func TestWrite(t *testing.T) {
	log := `{"time":"2026-12-04T10:00:01Z","msg":"request refused","reason":"notReady","skippedLines":7}
{"time":"2026-12-04T10:00:01.5Z","msg":"request","result":"partial","shards":10,"answered":9}
{"time":"2026-12-04T10:00:04Z","msg":"request refused","reason":"notReady"}
`
	table, err := Read(strings.NewReader(log), 2*time.Second, 0.1)
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if err := table.Write(&out); err != nil {
		t.Fatal(err)
	}
	want := `window                   cause        requests  worth lost
10:00:00                 noHost       1         1.0
10:00:00                 slowServers  1         0.2
10:00:04                 noHost       1         1.0
all                      noHost       2         2.0
all                      slowServers  1         0.2
lines left out by hosts               7         
`
	if got := out.String(); got != want {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}
