package storeserver

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

type wallClock struct{}

func (wallClock) Now() time.Time { return time.Now() }

// Guards against writes without a condition, and against faults that cannot be set over HTTP.
func TestProtocol(t *testing.T) {
	const object = "/v1/objects/members/vestland"
	large := strings.Repeat("x", MaxValueSize+1)
	tests := []struct {
		method, path, header, body string
		want                       int
	}{
		{"GET", object, "", "", http.StatusNotFound},
		{"PUT", object, "", "a", http.StatusPreconditionRequired},
		{"PUT", object, `If-Match: "1"`, "a", http.StatusPreconditionFailed},
		{"PUT", object, "If-None-Match: *", large, http.StatusRequestEntityTooLarge},
		{"PUT", object, "If-None-Match: *", "a", http.StatusOK},
		{"PUT", object, "If-None-Match: *", "a", http.StatusPreconditionFailed},
		{"PUT", object, `If-Match: "1"`, "b", http.StatusOK},
		{"GET", object + "?watch=1&wait=1h", "", "", http.StatusBadRequest},
		{"GET", object + "?watch=1&wait=1s", "", "", http.StatusOK},
		{"GET", object + "?watch=2&wait=0s", "", "", http.StatusNotModified},
		{"PUT", "/v1/faults", "", `{"unknown": 1}`, http.StatusBadRequest},
		{"PUT", "/v1/faults", "", `{"down": true, "latency": "1ms"}`, http.StatusOK},
		{"GET", object, "", "", http.StatusServiceUnavailable},
		{"PUT", "/v1/faults", "", `{}`, http.StatusOK},
		{"GET", object, "", "", http.StatusOK},
		{"GET", "/v1/calls", "", "", http.StatusOK},
	}
	server := New(wallClock{})
	for i, test := range tests {
		request := httptest.NewRequest(test.method, test.path, strings.NewReader(test.body))
		if name, value, ok := strings.Cut(test.header, ": "); ok {
			request.Header.Set(name, value)
		}
		recorder := httptest.NewRecorder()
		server.ServeHTTP(recorder, request)
		if recorder.Code != test.want {
			t.Errorf("%d: %s %s: got status %d, want %d", i, test.method, test.path, recorder.Code, test.want)
		}
	}
	if got, want := server.Calls(), (Calls{Get: 3, Put: 6, Watch: 2}); got != want {
		t.Errorf("calls: got %+v, want %+v", got, want)
	}
}
