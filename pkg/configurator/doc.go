// Package configurator builds, parses, validates and encodes the configuration of yuccarock, for operators' tools and
// for the daemons.
package configurator
