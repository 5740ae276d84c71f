// Package logger writes structured log lines to an output without ever blocking the caller, in a bounded volume.
package logger
