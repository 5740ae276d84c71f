// Package scatterer runs one query as a deterministic state machine: it pins a snapshot, chooses replicas, sends hedges
// and retries, merges the hits and reports the coverage.
package scatterer
