// Package drainer manages the lifecycle of a node and waits for its requests in progress before it stops.
package drainer
