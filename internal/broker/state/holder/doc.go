// Package holder keeps an immutable value that readers load without locks and writers replace whole.
package holder
