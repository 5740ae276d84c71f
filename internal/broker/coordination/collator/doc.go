// Package collator merges parts of fixed-size records by their byte order.
package collator
