// Package indexer turns a configuration into an immutable table with lookups for the request path.
package indexer
