// Package telemetry sets up logs, metrics and traces.
package telemetry

import (
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"pistachioshore.dev/result"
)

// LogLevel is the lowest severity that is logged.
type LogLevel string

// Log levels in order of severity.
const (
	LogDebug LogLevel = "debug"
	LogInfo  LogLevel = "info"
	LogWarn  LogLevel = "warn"
	LogError LogLevel = "error"
)

// LogFormat is the encoding of log lines.
type LogFormat string

// Encodings of log lines, as the log-format setting names them.
const (
	LogText LogFormat = "logfmt"
	LogJSON LogFormat = "json"
)

// TraceExporter selects the destination of spans.
type TraceExporter string

// Destinations of spans, as the trace-exporter setting names them.
const (
	TraceNone TraceExporter = "none"
	TraceFile TraceExporter = "file" // JSON lines appended to a file
	TraceOTLP TraceExporter = "otlp" // OTLP over HTTP without TLS
)

// Options configures logs, metrics and traces; Validate reports whether the options are valid.
type Options struct {
	LogLevel         LogLevel
	LogFormat        LogFormat
	TraceExporter    TraceExporter
	TracePath        string         // file that TraceFile appends to
	TraceEndpoint    netip.AddrPort // collector that TraceOTLP sends to
	TraceSampleRatio float64        // share, 0 to 1, of the traces started by this VM that are recorded
	Service          string         // service name in logs and traces
	VM               netip.AddrPort // address of this VM
	Zone             string         // availability zone of this VM
}

// DefaultOptions returns options that log at level info and record no traces.
func DefaultOptions() Options {
	return Options{
		LogLevel: LogInfo, LogFormat: LogText, TraceExporter: TraceNone, TraceSampleRatio: 1, Service: "pistachioshore",
	}
}

// Validate returns a fault for each invalid option, with the name of the setting as its path.
func (o Options) Validate() []*result.Error {
	faults := checkAllowed(nil, "log-level", o.LogLevel, LogDebug, LogInfo, LogWarn, LogError)
	faults = checkAllowed(faults, "log-format", o.LogFormat, LogText, LogJSON)
	faults = checkAllowed(faults, "trace-exporter", o.TraceExporter, TraceNone, TraceFile, TraceOTLP)
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

// checkAllowed appends a fault to faults if the value is not one of the allowed ones.
func checkAllowed[T ~string](faults []*result.Error, path string, value T, allowed ...T) []*result.Error {
	if slices.Contains(allowed, value) {
		return faults
	}
	names := make([]string, 0, len(allowed))
	for _, a := range allowed {
		names = append(names, string(a))
	}
	return append(faults, result.NewFieldError(result.OutOfRange, path, string(value), strings.Join(names, ", ")))
}
