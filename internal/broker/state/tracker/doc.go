// Package tracker keeps what an entry knows of each backend server: announced state, own outstanding attempts,
// observed latency, and the snapshots that each service can answer from.
package tracker
