// Package quarantiner keeps the fingerprints of requests that were running at a backend server when it crashed.
//
// The first crash makes every request that was running at the server a suspect. A suspect gets one trial run, alone at
// a server: finishing clears it, and a second crash quarantines it. The set is bounded and its entries expire. Lookups
// are lock-free, because the request path makes one for each sub-request.
package quarantiner
