// Package listener serves callers and operators over HTTP.
package listener
