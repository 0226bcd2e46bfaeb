package telemetry

import (
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// NewLogger returns a logger that may be used by several goroutines and stamps each line with time,
// VM and zone. An unknown level means info, and an unknown format logfmt.
func NewLogger(w io.Writer, o Options) log.Logger {
	w = log.NewSyncWriter(w)
	l := log.NewLogfmtLogger(w)
	if o.LogFormat == LogJSON {
		l = log.NewJSONLogger(w)
	}
	least := level.ParseDefault(string(o.LogLevel), level.InfoValue())
	l = level.NewFilter(l, level.Allow(least))
	return log.With(l, "ts", log.DefaultTimestampUTC, "service", o.Service, "vm", o.VM, "zone", o.Zone)
}
