// Package waiter waits for a time or the end of a context.
package waiter
