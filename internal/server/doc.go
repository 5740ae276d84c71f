// Package server assembles a daemon from its settings and runs it until it is stopped.
//
// A daemon is an entry, which runs callers' queries, and an owner, which dispatches sub-requests to the backend servers
// that the joiner assigns to it.
package server
