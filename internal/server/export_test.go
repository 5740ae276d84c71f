package server

// FingerprintOf returns the fingerprint under which a query is quarantined.
var FingerprintOf = fingerprintOf
