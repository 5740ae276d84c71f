// Package tracker keeps what an entry knows about each backend server: announced state, outstanding attempts of the
// entry itself, observed latency, and the snapshots that each service can answer from.
package tracker
