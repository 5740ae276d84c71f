// Package relayer passes collections of the platform's store on from the few hosts of an availability zone that follow the
// store to the others, so that the calls to the store do not grow with the number of hosts.
package relayer
