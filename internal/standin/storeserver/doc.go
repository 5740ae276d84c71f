// Package storeserver is an in-memory stand-in of the platform's object store that can inject faults.
//
//	GET  /v1/objects/{key}                    200 with ETag "<version>" and the value, 404 without an object
//	GET  /v1/objects/{key}?watch=<v>&wait=25s 200 once the version is above v, 304 at the end of the wait
//	GET  /v1/objects/{key}?version=<v>        200 with the value that had this version, 404 if none had
//	GET  /v1/objects/{key}?history=1          200 with a JSON list of versions and times, oldest first
//	PUT  /v1/objects/{key}                    needs If-Match: "<version>" or If-None-Match: *;
//	                                          200 with the new ETag, 412 on a conflict, 413 above 1 MB
//	GET  /v1/hosts                            200 with the JSON list of hosts
//
// Versions increase over the whole store. While the store is down, every call answers 503 and has no effect.
// PUT /v1/faults, PUT /v1/hosts and GET /v1/calls control and inspect the stand-in and are not counted as calls.
package storeserver
