// Package holder keeps an immutable value that readers load without locking and writers replace as a whole.
package holder
