// Package linker keeps one QUIC connection with mutual TLS to each peer and sends peer messages over it.
//
// The node whose ID sorts first dials; the other one dials only where no link came up for FallbackDelay, since
// a joining node may not yet be in the member list of its peer. Each direction of a link has three long-lived
// streams (control, requests and answers), and a message above encoder.TargetFrame gets a stream of its own.
// Order is kept per stream only.
package linker
