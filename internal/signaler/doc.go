// Package signaler handles the signals of daemons.
package signaler
