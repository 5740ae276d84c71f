package limiter

import (
	"net/http"
)

// Handler returns a handler that accounts for the requests in progress.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r)
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		if c.entry.Begin() != nil {
			panic(http.ErrAbortHandler) // the connection is being closed, and the request has not run
		}
		defer c.entry.End()
		next.ServeHTTP(w, r)
	})
}
