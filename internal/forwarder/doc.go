// Package forwarder is the daemon of an entry host that passes opaque requests on to backend servers itself: it follows
// the platform's store, answers callers, and tells them which hosts to use.
package forwarder
