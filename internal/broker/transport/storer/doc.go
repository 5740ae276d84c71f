// Package storer is the client of the platform's object store. Calls have timeouts and are retried with jitter within a
// rate limit; a write whose reply was lost can be read back.
package storer
