// Package backendserver is a stand-in of a backend server for tests and the demo. It serves the HTTP protocol of
// backend servers, injects faults on request and records the requests that it received.
package backendserver
