// Package storer is the client of the platform's object store: calls with timeouts, retries with jitter within
// a rate budget, and read-back of writes whose reply was lost.
package storer
