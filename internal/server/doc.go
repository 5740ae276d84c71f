// Package server builds one daemon from its settings and runs it until it is stopped.
package server
