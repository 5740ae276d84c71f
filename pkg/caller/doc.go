// Package caller is the callers' client library: it asks the system for entry addresses, sends queries to them and
// sends a query again, under the same request ID, where that is safe.
package caller
