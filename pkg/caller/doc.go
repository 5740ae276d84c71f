// Package caller is the client library for callers: it obtains the entry addresses from the system, sends queries to
// them and resends a query with the same request ID where that is safe.
package caller
