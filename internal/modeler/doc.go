// Package modeler simulates callers, hosts and backend servers in virtual time, with seeded random numbers and the decision
// code that real hosts run, and compares policies by the worth of the answers that callers get.
package modeler
