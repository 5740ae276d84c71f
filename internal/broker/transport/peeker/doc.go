// Package peeker looks at what a socket has received without reading it.
package peeker
