package loader

import (
	"errors"
	"strings"
	"testing"
)

const validSettings = `{"node":"a1","zone":"a","entry":"127.0.0.1:8080","peer":"127.0.0.1:9080",
"store":"http://127.0.0.1:7000","tls":{"ca":"ca.pem","certificate":"a1.pem","key":"a1.key"}`

// Guards against accepting settings with an invalid or misspelled field, and against errors that name only the first
// such field.
func TestParse(t *testing.T) {
	tests := []struct {
		name  string
		input string
		want  []string // substrings of the error; empty if the settings are valid
	}{
		{name: "valid", input: validSettings + `}`},
		{name: "unknown fields", input: validSettings + `,"nodes":1,"zoom":2,"trace":{"sampel":1}}`, want: []string{
			"nodes: unknown field", "zoom: unknown field", "trace.sampel: unknown field",
		}},
		{name: "unknown field and an invalid one", input: validSettings + `,"nodes":1,"logLevel":"loud"}`, want: []string{
			"nodes: unknown field", "logLevel:",
		}},
		{name: "wrong types", input: validSettings + `,"logLevel":7,"stopDeadline":"soon"}`, want: []string{
			"logLevel:", "stopDeadline:",
		}},
		{name: "trailing data", input: validSettings + `} {}`, want: []string{"not one JSON object"}},
		{
			name: "every field invalid",
			input: `{"node":"A 1","zone":"","entry":"0.0.0.0:1","store":"ftp://x","trace":{"exporter":"file","sample":2},
"seeds":{"b1":"0.0.0.0:9"},"limits":{"maxBody":0,"maxConcurrent":-1,"maxQueryTime":"0s"},"logLevel":"loud","stopDeadline":"-1s"}`,
			want: []string{
				"node:", "zone:", "entry:", "peer:", "store:", "tls.ca:", "tls.certificate:", "tls.key:",
				"seeds.b1:", "stopDeadline:", "logLevel:", "trace.exporter:", "trace.sample:", "limits.maxBody:",
				"limits.maxConcurrent:", "limits.maxQueryTime:",
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Parse([]byte(tt.input))
			if got, want := err != nil, len(tt.want) > 0; got != want {
				t.Fatalf("Parse() error: got %v, want error %v", err, want)
			}
			var typed *Error
			if err != nil && !errors.As(err, &typed) {
				t.Fatalf("Parse() error type: got %T, want *Error", err)
			}
			for _, want := range tt.want {
				if got := err.Error(); !strings.Contains(got, want) {
					t.Errorf("Parse() error: got %q, want it to contain %q", got, want)
				}
			}
		})
	}
}
