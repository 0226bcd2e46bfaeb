package vm

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"pistachioshore.dev/entry"
	"pistachioshore.dev/upstream"
)

// traceParentKey is the carrier key of the W3C trace context.
const traceParentKey = "traceparent"

// traceParentOf returns the trace context of ctx in W3C traceparent format.
func traceParentOf(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier[traceParentKey]
}

// contextWithTraceParent returns ctx with the trace context parsed from a traceparent value.
func contextWithTraceParent(ctx context.Context, traceParent string) context.Context {
	return propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{traceParentKey: traceParent})
}

func (vm *VM) startQuerySpan(ctx context.Context, q entry.Query) (context.Context, trace.Span) {
	return vm.instrumentation.Tracer.Start(ctx, "query", trace.WithAttributes(
		attribute.String("request", q.ID), attribute.String("route", q.Route)))
}

func (vm *VM) startOrderSpan(ctx context.Context, o entry.Order) (context.Context, trace.Span) {
	return vm.instrumentation.Tracer.Start(ctx, "order", trace.WithAttributes(
		attribute.String("request", o.ID), attribute.String("route", o.Route)))
}

func (vm *VM) startCallSpan(s upstream.StartedJob[payload]) (context.Context, trace.Span) {
	return vm.instrumentation.Tracer.Start(contextWithTraceParent(vm.ctx, s.Job.Payload.traceParent), "sub-request", trace.WithAttributes(
		attribute.String("upstream", s.Upstream), attribute.Int("attempt", s.Job.Key.Attempt)))
}
