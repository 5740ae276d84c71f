// Package listener is the HTTP server of a node for callers and operators.
package listener
