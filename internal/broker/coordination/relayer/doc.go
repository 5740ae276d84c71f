// Package relayer distributes collections of the platform's store within an availability zone: a few hosts, the relays,
// follow the store and serve the collections to the others. The number of calls to the store therefore does not grow
// with the number of hosts.
package relayer
