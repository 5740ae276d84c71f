// Package registrar joins the configured routes with the registered backend servers and the availability zones to leave
// into the table that queries run on.
package registrar
