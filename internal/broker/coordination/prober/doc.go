// Package prober probes the other entry hosts to determine which of them accept requests.
package prober
