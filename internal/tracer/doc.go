// Package tracer sets up OpenTelemetry tracing with a span for each hop of a query, and propagates the span context
// between processes in W3C trace context format.
package tracer
