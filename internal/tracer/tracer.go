package tracer

import (
	"context"
	"fmt"
	"io"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/yuccarock/yuccarock/internal/loader"
)

const traceParentHeader = "traceparent"

// Tracer starts spans.
type Tracer struct {
	tracer   trace.Tracer
	shutdown func(context.Context) error
}

// New returns a tracer for the settings and the node's name; the exporter "stdout" writes spans to out.
func New(ctx context.Context, settings loader.Trace, node string, out io.Writer) (*Tracer, error) {
	var (
		exporter sdktrace.SpanExporter
		err      error
	)
	switch settings.Exporter {
	case loader.ExporterStdout:
		exporter, err = stdouttrace.New(stdouttrace.WithWriter(out))
	case loader.ExporterOTLP:
		exporter, err = otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(settings.Endpoint))
	default:
		return Disabled(), nil
	}
	if err != nil {
		return nil, fmt.Errorf("could not open the trace exporter: %w", err)
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(settings.Sample))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "yuccarock"), attribute.String("service.instance.id", node))),
	)
	return NewFromProvider(provider, provider.Shutdown), nil
}

// NewFromProvider returns a tracer that uses provider; Shutdown calls shutdown to flush it.
func NewFromProvider(provider trace.TracerProvider, shutdown func(context.Context) error) *Tracer {
	return &Tracer{tracer: provider.Tracer("github.com/yuccarock/yuccarock"), shutdown: shutdown}
}

// Disabled returns a tracer that records nothing.
func Disabled() *Tracer {
	return NewFromProvider(noop.NewTracerProvider(), func(context.Context) error { return nil })
}

// Start starts a span as a child of the span in ctx.
func (t *Tracer) Start(
	ctx context.Context, name string, attributes ...attribute.KeyValue,
) (context.Context, trace.Span) {
	return t.tracer.Start(ctx, name, trace.WithAttributes(attributes...))
}

// TraceParent returns the span context of ctx as the value of a traceparent header, or an empty string if it is not
// sampled.
func TraceParent(ctx context.Context) string {
	if !trace.SpanContextFromContext(ctx).IsSampled() {
		return ""
	}
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier[traceParentHeader]
}

// WithTraceParent returns ctx with the remote span context from the value of a traceparent header; an empty value
// leaves ctx unchanged.
func WithTraceParent(ctx context.Context, value string) context.Context {
	if value == "" {
		return ctx
	}
	return propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{traceParentHeader: value})
}

// Shutdown exports the buffered spans and stops the tracer.
func (t *Tracer) Shutdown(ctx context.Context) error { return t.shutdown(ctx) }
