// Package recorder keeps a bounded set of recently added keys.
package recorder
