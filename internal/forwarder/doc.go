// Package forwarder is the daemon of an entry host that forwards opaque requests to backend servers. It watches the
// platform's store, answers callers, and tells them which hosts to use.
package forwarder
