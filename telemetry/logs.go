package telemetry

import (
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// NewLogger returns a logger that is safe for concurrent use and adds time, service, VM and zone to each
// line. An unknown level is taken as info, and an unknown format as logfmt.
func NewLogger(w io.Writer, o Options) log.Logger {
	w = log.NewSyncWriter(w)
	l := log.NewLogfmtLogger(w)
	if o.LogFormat == LogJSON {
		l = log.NewJSONLogger(w)
	}
	minLevel := level.ParseDefault(string(o.LogLevel), level.InfoValue())
	l = level.NewFilter(l, level.Allow(minLevel))
	return log.With(l, "ts", log.DefaultTimestampUTC, "service", o.Service, "vm", o.VM, "zone", o.Zone)
}
