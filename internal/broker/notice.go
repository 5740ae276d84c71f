package broker

import "time"

// ServerNotice is what a backend server states about itself in an answer. The zero value states nothing.
type ServerNotice struct {
	// Limited reports whether the server states a limit.
	Limited bool `cbor:"1,keyasint,omitempty"`
	// Limit is the number of requests per second that the server takes from all hosts together.
	Limit float64 `cbor:"2,keyasint,omitempty"`
	// Leaving reports whether the server is about to end.
	Leaving bool `cbor:"3,keyasint,omitempty"`
	// RetryAfter is how long the server wants no requests from the host that it answers; zero if it states no time.
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
}

// RateShare is the share of a server's request rate that one host may use.
type RateShare struct {
	PerSecond float64 // requests per second
	Burst     float64 // most requests at one moment
}

// RateDivider divides the rates that servers state among the hosts.
type RateDivider interface {
	// Share returns this host's share of a rate in requests per second, and until when it holds.
	Share(server ServerName, rate float64, now time.Time) (share RateShare, until time.Time)
}
