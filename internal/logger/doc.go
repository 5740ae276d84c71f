// Package logger writes structured log lines without blocking the caller, and limits their volume.
package logger
