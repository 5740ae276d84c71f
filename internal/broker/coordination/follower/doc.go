// Package follower keeps a copy of a collection of the platform's store up to date through outages, lost watches and
// lost history.
package follower
