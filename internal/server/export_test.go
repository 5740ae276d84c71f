package server

// FingerprintOf gives tests the fingerprint under which a query is quarantined.
var FingerprintOf = fingerprintOf
