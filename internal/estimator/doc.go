// Package estimator fits straight lines to measured sizes and extrapolates them with their error.
package estimator
