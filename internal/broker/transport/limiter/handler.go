package limiter

import (
	"net/http"
)

// Handler returns a handler that accounts for the requests in progress; next has to read their bodies with ReadBody.
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
		c.handled.Store(false)
		defer func() {
			c.handled.Store(true)
			c.entry.End()
		}()
		next.ServeHTTP(w, r)
	})
}

// RefuseBodies returns a handler that refuses requests with a body, for endpoints that take none.
func RefuseBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			Abandon(w, r)
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Abandon has the connection closed after the answer, if a part of the request's body may be left; it is called before the
// answer is written. The rest is never read as a request.
func Abandon(w http.ResponseWriter, r *http.Request) {
	c := connOf(r)
	if c == nil || r.ContentLength == 0 {
		return
	}
	w.Header().Set("Connection", "close")
	c.abandoned.Store(true)
	c.entry.Refuse()
	c.interrupt() // net/http would otherwise wait for the rest of the body
}
