// Package collator merges parts that consist of fixed-size records by the byte order of the records.
package collator
