// Package router finds the route of an opaque request and the service that takes it.
package router
