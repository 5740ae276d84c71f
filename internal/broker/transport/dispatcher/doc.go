// Package dispatcher sends requests to backend servers over HTTP/1.1 within a limit of connections per server.
//
// # Backend protocol
//
// POST /v1/search runs one request. The headers are Content-Type: application/json, Yuccarock-Deadline (the
// remaining time as a Go duration such as "180ms") and, if the request is traced, traceparent. The body is
//
//	{"requestId": "…", "shard": "s1", "snapshot": 7, "partitioning": 1, "attempt": 1, "limit": 10,
//	 "kind": "search", "body": …}
//
// The answers are:
//
//   - 200 with {"requestId", "shard", "snapshot", "partitioning", "attempt", "hits", "bootId", "draining"}: the
//     request ran and this is its complete answer. The first five fields are those of the request.
//   - 503 with {"notStarted": true, "reason": "shed" | "draining" | "cold"}: the request did not start.
//   - 409 with {"notStarted": true, "reason": "snapshotMissing" | "stalePartitioning"}: the request did not start.
//   - any other status: the request failed and may have had effects.
//
// The 503 and 409 answers may also have bootId and draining. The bootId identifies one process of the server;
// draining is true once the server accepts no new requests. A server aborts a request when the client closes its
// connection.
//
// GET /v1/status answers 200 with {"bootId", "draining", "cold", "load", "shards": {"s1": [7, 6]},
// "partitioning"}; shards lists the snapshots of each shard that the server holds.
//
// # Connections
//
// A connection counts towards the limit from before it is dialed until after it is closed. To close a connection,
// the dispatcher sends a FIN and waits a bounded time for the FIN of the server, so that the server too has closed
// the connection before a new one replaces it. Except for status requests, the dispatcher resends a request only over
// a new connection and only if no byte of it was written before.
package dispatcher
