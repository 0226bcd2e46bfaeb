package telemetry

import (
	"context"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// NewTracer returns a tracer provider and the W3C trace context propagator. Without an exporter no spans
// are recorded, but the trace context of callers is still propagated. The shutdown function exports the
// remaining spans and closes the exporter; it returns no later than its context ends.
func NewTracer(ctx context.Context, o Options) (
	provider trace.TracerProvider, propagator propagation.TextMapPropagator, shutdown func(context.Context) error, err error,
) {
	propagator = propagation.TraceContext{}
	exporter, output, err := newExporter(ctx, o)
	if err != nil {
		return nil, nil, nil, err
	}
	if exporter == nil {
		return noop.NewTracerProvider(), propagator, func(context.Context) error { return nil }, nil
	}
	sdkProvider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(o.TraceSampleRatio))),
		sdktrace.WithResource(newResource(o)),
	)
	shutdown = func(ctx context.Context) error {
		return errors.CombineErrors(sdkProvider.Shutdown(ctx), output.Close())
	}
	return sdkProvider, propagator, shutdown, nil
}

// newExporter returns the exporter selected by the options and its output, which is to be closed after the
// exporter is shut down. Both are nil if no traces are to be recorded.
func newExporter(ctx context.Context, o Options) (sdktrace.SpanExporter, io.Closer, error) {
	switch o.TraceExporter {
	case TraceFile:
		return newFileExporter(o.TracePath)
	case TraceOTLP:
		e, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpoint(o.TraceEndpoint.String()), otlptracehttp.WithInsecure())
		return e, io.NopCloser(nil), errors.Wrap(err, "create OTLP exporter")
	case TraceNone, "":
		return nil, nil, nil
	default:
		return nil, nil, errors.Newf("unknown trace exporter %q", string(o.TraceExporter))
	}
}

func newFileExporter(path string) (sdktrace.SpanExporter, io.Closer, error) {
	f, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, nil, errors.Wrap(err, "open trace file")
	}
	e, err := stdouttrace.New(stdouttrace.WithWriter(f))
	if err != nil {
		return nil, nil, errors.CombineErrors(errors.Wrap(err, "create file exporter"), f.Close())
	}
	return e, f, nil
}

// newResource returns the attributes that identify this VM as the source of spans.
func newResource(o Options) *resource.Resource {
	return resource.NewSchemaless(
		attribute.String("service.name", o.Service),
		attribute.String("service.instance.id", o.VM.String()),
		attribute.String("cloud.availability_zone", o.Zone),
	)
}
