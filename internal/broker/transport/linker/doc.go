// Package linker maintains one QUIC connection with mutual TLS to each peer, called a link, and sends peer messages
// over it.
//
// The node whose ID sorts first dials. The other node dials only if no link came up within FallbackDelay, since a
// joining node may not yet be in the member list of its peer. Each direction of a link has three long-lived streams
// (control, requests and answers); a message larger than encoder.TargetFrameSize gets a stream of its own. Messages
// are delivered in order within a stream only.
package linker
