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

// reportInterval is the time between reports to the metrics page, the longest delay before an event is
// visible there.
const reportInterval = time.Second

// NewMetrics returns a scope for the VM's metrics and the handler of the Prometheus metrics page, which
// also has the Go runtime and process metrics. Closing closer reports the last counts to the page.
func NewMetrics(o Options) (scope tally.Scope, handler http.Handler, closer io.Closer, err error) {
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
		// Tally's metrics about its own cardinality take up space on the page and are of no use to operators.
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return scope, reporter.HTTPHandler(), closer, nil
}

// sanitizeOptions returns the Prometheus rules for metric names and label keys. Prometheus allows any text
// in label values, so addresses and the names of zones and results are kept as they appear elsewhere.
func sanitizeOptions() *tally.SanitizeOptions {
	o := tallyprom.DefaultSanitizerOpts
	o.ValueCharacters.Characters = []rune("_-.:[]%")
	return &o
}
