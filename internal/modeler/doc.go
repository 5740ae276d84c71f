// Package modeler plays seeded days of callers, hosts and backend servers in virtual time against the decision code that
// hosts run, and compares policies by what callers get.
package modeler
