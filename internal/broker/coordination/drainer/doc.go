// Package drainer keeps the lifecycle of a node and lets it stop without cutting off requests in progress.
package drainer
