// Package ranker orders the members of a cell for a server or shard by rendezvous hashing.
package ranker
