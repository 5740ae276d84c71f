// Package estimator fits straight lines to benchmark results over sizes and extrapolates them with a standard error.
package estimator
