// Package delegator decides which sub-requests of a scatter a host leaves to hosts of other availability zones, and when
// those send the results back.
package delegator
