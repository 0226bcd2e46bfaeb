// Package telemetry sets up logs, metrics and traces.
package telemetry

import (
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"pistachioshore.dev/result"
)

// LogLevel is the least severe level that is written.
type LogLevel string

// The log levels.
const (
	LogDebug LogLevel = "debug"
	LogInfo  LogLevel = "info"
	LogWarn  LogLevel = "warn"
	LogError LogLevel = "error"
)

// LogFormat is the encoding of log lines.
type LogFormat string

// The log formats.
const (
	LogText LogFormat = "logfmt"
	LogJSON LogFormat = "json"
)

// TraceExporter is where spans go.
type TraceExporter string

// The trace exporters.
const (
	TraceNone TraceExporter = "none"
	TraceFile TraceExporter = "file" // JSON lines appended to a file
	TraceOTLP TraceExporter = "otlp" // OTLP over HTTP without TLS
)

// Options are the settings of logs, metrics and traces; Check tells whether they are valid.
type Options struct {
	LogLevel         LogLevel
	LogFormat        LogFormat
	TraceExporter    TraceExporter
	TracePath        string         // file that TraceFile appends to
	TraceEndpoint    netip.AddrPort // collector that TraceOTLP sends to
	TraceSampleRatio float64        // share of traces, 0 to 1, that begin here and are recorded
	Service          string         // service name in logs and traces
	VM               netip.AddrPort // address of this VM
	Zone             string         // availability zone of this VM
}

// DefaultOptions returns options that log changes of state and record no traces.
func DefaultOptions() Options {
	return Options{
		LogLevel: LogInfo, LogFormat: LogText, TraceExporter: TraceNone, TraceSampleRatio: 1, Service: "pistachioshore",
	}
}

// Validate returns the faults of the options, with the names of the settings as paths.
func (o Options) Validate() []*result.Error {
	faults := oneOf(nil, "log-level", o.LogLevel, LogDebug, LogInfo, LogWarn, LogError)
	faults = oneOf(faults, "log-format", o.LogFormat, LogText, LogJSON)
	faults = oneOf(faults, "trace-exporter", o.TraceExporter, TraceNone, TraceFile, TraceOTLP)
	if o.TraceExporter == TraceFile && o.TracePath == "" {
		faults = append(faults, result.NewFieldError(result.MissingField, "trace-path", "", "the path of a file"))
	}
	if o.TraceExporter == TraceOTLP && !o.TraceEndpoint.IsValid() {
		faults = append(faults, result.NewFieldError(result.MissingField, "trace-endpoint", "", "an IP address with a port"))
	}
	if !(o.TraceSampleRatio >= 0 && o.TraceSampleRatio <= 1) {
		value := strconv.FormatFloat(o.TraceSampleRatio, 'g', -1, 64)
		faults = append(faults, result.NewFieldError(result.OutOfRange, "trace-share", value, "0 to 1"))
	}
	return faults
}

// oneOf adds a fault if the value is none of the allowed ones.
func oneOf[T ~string](faults []*result.Error, path string, value T, allowed ...T) []*result.Error {
	if slices.Contains(allowed, value) {
		return faults
	}
	names := make([]string, 0, len(allowed))
	for _, a := range allowed {
		names = append(names, string(a))
	}
	return append(faults, result.NewFieldError(result.OutOfRange, path, string(value), strings.Join(names, ", ")))
}
