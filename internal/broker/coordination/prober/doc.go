// Package prober learns which of the other entry hosts take requests by asking them.
package prober
