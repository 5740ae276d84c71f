// Package tracer sets up OpenTelemetry tracing: a span for each hop of a query.
package tracer
