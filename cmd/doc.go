// Package cmd implements the commands of the yuccarock program.
package cmd
