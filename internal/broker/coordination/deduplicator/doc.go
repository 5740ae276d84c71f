// Package deduplicator keeps the request IDs of non-idempotent requests at their claim point.
//
// A request ID is a UUIDv7; its creation time decides whether the claim point can know all uses of it. IDs older
// than the window or created before the fence are refused, because a claim for them may have been forgotten or may
// be with a predecessor. A claim is kept until its ID leaves the window.
package deduplicator
