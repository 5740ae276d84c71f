// Package cmd holds the commands of yuccarock, one file per command.
package cmd
