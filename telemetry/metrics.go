package telemetry

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is the longest time in which a counted event reaches the page.
const reportInterval = time.Second

// NewMetrics returns a scope for the VM's metrics and the Prometheus page that shows them, together
// with the process's own memory and processor time. Closing writes what was counted last to the page.
func NewMetrics(o Options) (scope tally.Scope, page http.Handler, closer io.Closer, err error) {
	registry := prometheus.NewRegistry()
	for _, c := range []prometheus.Collector{
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	} {
		if err := registry.Register(c); err != nil {
			return nil, nil, nil, errors.Wrap(err, "register process metrics")
		}
	}
	reporter := tallyprom.NewReporter(tallyprom.Options{Registerer: registry, Gatherer: registry})
	scope, closer = tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "pistachio",
		Tags:            map[string]string{"vm": o.VM.String(), "zone": o.Zone},
		CachedReporter:  reporter,
		Separator:       tallyprom.DefaultSeparator,
		SanitizeOptions: sanitizeOptions(),
		// Tally's count of its own series would take up part of the page without serving operators.
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return scope, reporter.HTTPHandler(), closer, nil
}

// sanitizeOptions returns Prometheus' rules for names and keys. Its values may hold any text, and
// addresses and names of zones and results have to stay as operators know them.
func sanitizeOptions() *tally.SanitizeOptions {
	o := tallyprom.DefaultSanitizerOpts
	o.ValueCharacters.Characters = []rune("_-.:[]%")
	return &o
}
