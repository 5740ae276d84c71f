// Package configurator is the operators' library: it builds, checks and prints the configuration of yuccarock.
package configurator
