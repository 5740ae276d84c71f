// Package quarantiner keeps the fingerprints of requests that were running at a backend server when it died.
//
// The first crash makes every request that was running at the server a suspect. A suspect runs at most once more,
// alone at a server: finishing clears it, and a second crash quarantines it. The set is bounded and entries expire.
// Lookups are lock-free, so that the request path can make them for each sub-request.
package quarantiner
