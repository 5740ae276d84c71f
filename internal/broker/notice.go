package broker

// ServerNotice is what a backend server states about itself in an answer. The zero value states nothing.
type ServerNotice struct {
	// Limited reports whether the server states a limit.
	Limited bool `cbor:"1,keyasint,omitempty"`
	// Limit is the number of requests per second that the server takes from all hosts together.
	Limit float64 `cbor:"2,keyasint,omitempty"`
}
