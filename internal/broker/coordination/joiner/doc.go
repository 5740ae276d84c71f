// Package joiner runs the membership of one process: it joins and leaves the cell's member list, exchanges
// heartbeats, adopts configurations and reports which backend servers the process owns.
//
// The event loop, Run, owns all state. Messages and store results reach it as functions on a channel; the request
// path reads only published state.
package joiner
