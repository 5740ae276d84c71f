package limiter

import (
	"net"
	"net/http"
)

// Prepare has a server account for its connections, which have to come from a Listener. Its handler has to read bodies with
// ReadBody.
func Prepare(server *http.Server) {
	server.Handler = account(server.Handler)
	server.ConnContext = connContext
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if c, ok := c.(*conn); ok && state == http.StateIdle {
			c.entry.End()
		}
	}
}

// account returns a handler that accounts for the requests in progress. net/http sends a part of the answer after the handler
// has returned, so that a request does not end before its connection is idle.
func account(next http.Handler) http.Handler {
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
			c.entry.EndHandling()
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
	c.Interrupt() // net/http would otherwise wait for the rest of the body
}
