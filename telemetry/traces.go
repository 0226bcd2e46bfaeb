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

// NewTracer returns a provider of tracers and the W3C trace context propagator. Without an exporter
// the trace context of callers is still passed on. Shutdown exports the spans that are left and
// releases the exporter; it ends at the latest with its context.
func NewTracer(ctx context.Context, o Options) (
	provider trace.TracerProvider, propagator propagation.TextMapPropagator, shutdown func(context.Context) error, err error,
) {
	propagator = propagation.TraceContext{}
	exporter, sink, err := newExporter(ctx, o)
	if err != nil {
		return nil, nil, nil, err
	}
	if exporter == nil {
		return noop.NewTracerProvider(), propagator, func(context.Context) error { return nil }, nil
	}
	sdk := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(o.TraceSampleRatio))),
		sdktrace.WithResource(newResource(o)),
	)
	shutdown = func(ctx context.Context) error {
		return errors.CombineErrors(sdk.Shutdown(ctx), sink.Close())
	}
	return sdk, propagator, shutdown, nil
}

// newExporter returns the exporter that the options name and what to close after it; no exporter for none.
func newExporter(ctx context.Context, o Options) (sdktrace.SpanExporter, io.Closer, error) {
	switch o.TraceExporter {
	case TraceFile:
		return newFileExporter(o.TracePath)
	case TraceOTLP:
		e, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpoint(o.TraceEndpoint.String()), otlptracehttp.WithInsecure())
		return e, io.NopCloser(nil), errors.Wrap(err, "OTLP exporter")
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
		return nil, nil, errors.CombineErrors(errors.Wrap(err, "file exporter"), f.Close())
	}
	return e, f, nil
}

// newResource names the VM that the spans come from.
func newResource(o Options) *resource.Resource {
	return resource.NewSchemaless(
		attribute.String("service.name", o.Service),
		attribute.String("service.instance.id", o.VM.String()),
		attribute.String("cloud.availability_zone", o.Zone),
	)
}
