// Package certifier creates a certificate authority and node certificates in memory for tests and the demo.
package certifier
