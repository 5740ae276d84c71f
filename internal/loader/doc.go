// Package loader reads and checks the settings file of a daemon.
package loader
