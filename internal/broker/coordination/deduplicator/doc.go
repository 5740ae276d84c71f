// Package deduplicator prevents a second execution of non-idempotent requests by recording their request IDs.
//
// The request IDs of a shard are recorded as claims at one node, the claim point of the shard. A request ID is a
// UUIDv7, whose creation time shows whether the claim point can know all its earlier uses: IDs older than the window or
// created before the fence are refused, because their claim may have expired or may be kept by a previous claim point.
// A claim is kept until its ID is older than the window.
package deduplicator
