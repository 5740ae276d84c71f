// Package divider divides the request rate that a backend server states among the hosts that send to it.
package divider
