// Package requester makes the HTTP clients with which hosts send requests to each other.
package requester
