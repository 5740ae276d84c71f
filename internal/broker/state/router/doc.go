// Package router matches opaque requests to routes and splits their traffic among target services.
package router
