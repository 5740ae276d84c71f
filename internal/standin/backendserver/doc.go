// Package backendserver is a stand-in of a backend server for tests and the demo: it serves the HTTP protocol of
// backend servers, misbehaves on request and records what it was asked to do.
package backendserver
