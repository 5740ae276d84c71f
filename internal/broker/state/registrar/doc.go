// Package registrar combines the configured routes, the registered backend servers and the availability zones to leave
// into the view that requests use.
package registrar
