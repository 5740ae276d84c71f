// Package owner dispatches sub-requests to the backend servers that this node owns.
//
// Each owned server has an admitter, which decides what runs when; a broker.Backend does the I/O. The package checks
// the lease immediately before each dispatch, refuses quarantined requests, runs suspects alone, polls the status of
// the servers, distinguishes server crashes from lost connections, and announces state changes.
package owner
