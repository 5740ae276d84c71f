// Package follower keeps a local copy of a collection of the platform's store up to date, also across store outages,
// watches without events and truncated history.
package follower
