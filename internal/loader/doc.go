// Package loader reads and validates the settings file of a daemon.
package loader
