package vm

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"pistachioshore.dev/entry"
	"pistachioshore.dev/upstream"
)

// traceHeader is the key of the W3C trace context.
const traceHeader = "traceparent"

// traceOf returns the trace context of ctx in its W3C form.
func traceOf(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier[traceHeader]
}

// contextWithTrace returns ctx with a received trace context.
func contextWithTrace(ctx context.Context, parent string) context.Context {
	return propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{traceHeader: parent})
}

func (vm *VM) startQuerySpan(ctx context.Context, q entry.Query) (context.Context, trace.Span) {
	return vm.observe.Tracer.Start(ctx, "query", trace.WithAttributes(
		attribute.String("request", q.ID), attribute.String("route", q.Route)))
}

func (vm *VM) startOrderSpan(ctx context.Context, o entry.Order) (context.Context, trace.Span) {
	return vm.observe.Tracer.Start(ctx, "order", trace.WithAttributes(
		attribute.String("request", o.ID), attribute.String("route", o.Route)))
}

func (vm *VM) startCallSpan(s upstream.StartedJob[work]) (context.Context, trace.Span) {
	return vm.observe.Tracer.Start(contextWithTrace(vm.ctx, s.Job.Payload.trace), "sub-request", trace.WithAttributes(
		attribute.String("upstream", s.Upstream), attribute.Int("attempt", s.Job.Key.Attempt)))
}
