// Package cmd holds the commands of the yuccarock program, one file each.
package cmd
