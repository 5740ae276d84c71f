// Package scatterer runs one query as a deterministic state machine: it pins a snapshot, chooses replicas, hedges,
// retries, merges hits and states the coverage.
package scatterer
