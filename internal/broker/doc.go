// Package broker holds the domain types of the query tier and the interfaces
// between its layers; implementations are in the packages below it.
package broker
