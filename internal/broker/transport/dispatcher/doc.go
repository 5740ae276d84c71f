// Package dispatcher sends requests to backend servers over HTTP/1.1 and keeps their connection caps.
//
// # Backend protocol
//
// POST /v1/search runs one request. The headers are Content-Type: application/json, Yuccarock-Deadline (the
// remaining time as a Go duration such as "180ms") and, where the request is traced, traceparent. The body is
//
//	{"requestId": "…", "shard": "s1", "snapshot": 7, "partitioning": 1, "attempt": 1, "limit": 10,
//	 "kind": "search", "body": …}
//
// The answers are:
//
//   - 200 with {"requestId", "shard", "snapshot", "partitioning", "attempt", "hits", "bootId", "draining"}: the
//     request ran and this is its whole answer. The first five repeat the request.
//   - 503 with {"notStarted": true, "reason": "shed" | "draining" | "cold"}: the request did not start.
//   - 409 with {"notStarted": true, "reason": "snapshotMissing" | "stalePartitioning"}: the request did not start.
//   - any other status: the request failed and may have had effects.
//
// Refusals may carry bootId and draining as well. A bootId names one process of the server; draining is true once
// the server takes no new work. A server stops a request whose connection the client closes.
//
// GET /v1/status answers 200 with {"bootId", "draining", "cold", "load", "shards": {"s1": [7, 6]},
// "partitioning"}; shards lists the snapshots that the server holds of each shard.
//
// # Connections
//
// A connection counts towards the cap from before it is dialed until after it is closed. Closing first sends a
// FIN and waits a bounded time for that of the server, so that the server has let go of the connection as well
// before another takes its place. No request is sent again on its own, except over a new connection where the
// dispatcher knows that not one byte of it was written.
package dispatcher
