// Package joiner runs the membership of one process: it joins and leaves the cell's member list, exchanges
// heartbeats, adopts configurations and reports which backend servers the process owns.
//
// One goroutine, Run, owns all state. Messages, store results and timer ticks reach it as functions over a
// channel; the request path reads published state only.
package joiner
