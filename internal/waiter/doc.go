// Package waiter waits for a duration or until a context ends.
package waiter
