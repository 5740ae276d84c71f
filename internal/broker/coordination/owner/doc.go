// Package owner runs the work for the backend servers that this node owns.
//
// For each owned server it joins an admitter, which decides, with a broker.Backend, which does the input and output.
// It checks the lease immediately before each dispatch, holds back quarantined requests, runs suspects alone, polls
// the servers' status at a low rate, tells crashes of servers from lost connections, and announces changes of state.
package owner
