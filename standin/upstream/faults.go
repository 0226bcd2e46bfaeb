package upstream

import (
	"fmt"
	"time"

	"pistachioshore.dev/codec"
	"pistachioshore.dev/result"
	"pistachioshore.dev/wire"
)

// maxReportLag bounds the past that the health and load reports remember.
const maxReportLag = time.Minute

// maxFactor bounds the factors on the service time.
const maxFactor = 1000

// Faults are what is wrong with an upstream now; the zero value means nothing.
type Faults struct {
	Draining            bool          // refuses new work and reports it
	MarkedDraining      bool          // counts starts as late without refusing them
	ZoneDrained         bool          // counts starts as late without refusing them
	ShedShare           float64       // share of requests that are shed
	CrashOnColdOverload bool          // restarts when more than the cold-start limit run while cold
	Unreachable         bool          // closes and refuses connections
	SlowFactor          float64       // factor on the service time; 1 if zero
	StragglerShare      float64       // share of requests that straggle
	StragglerFactor     float64       // factor on the service time of a straggler; 1 if zero
	Poison              string        // text whose occurrence in a filter or key crashes the upstream
	ReportLag           time.Duration // age of the figures in health and load reports, at most 1 min
	ReportedStatus      string        // status reported instead of the true one
	ReportedLoad        *wire.Load    // load reported instead of the true one
	Snapshots           []uint64      // versions held instead of those of the settings
}

// FaultsFromWire converts received faults; an error names the faulty field and the allowed range.
func FaultsFromWire(w wire.UpstreamFaults) (Faults, error) {
	f := Faults{
		Draining: w.Draining, MarkedDraining: w.MarkedDraining, ZoneDrained: w.ZoneOut, ShedShare: w.ShedShare,
		CrashOnColdOverload: w.FallOver, Unreachable: w.Unreachable, SlowFactor: w.Slow, StragglerShare: w.StragglerShare,
		StragglerFactor: w.StragglerFactor, Poison: w.Poison, ReportedStatus: w.ReportedStatus,
		ReportedLoad: w.ReportedLoad, Snapshots: w.Snapshots,
	}
	if w.ReportLag != "" {
		lag, err := codec.ParseDuration("report-lag", w.ReportLag, 0, maxReportLag)
		if err != nil {
			return f, err
		}
		f.ReportLag = lag
	}
	return f, f.Validate()
}

// Validate returns an error for the first value that is out of range.
func (f Faults) Validate() error {
	for _, v := range []struct {
		path  string
		value float64
		most  float64
	}{
		{"shed-share", f.ShedShare, 1},
		{"straggler-share", f.StragglerShare, 1},
		{"slow", f.SlowFactor, maxFactor},
		{"straggler-factor", f.StragglerFactor, maxFactor},
		{"report-lag", f.ReportLag.Seconds(), maxReportLag.Seconds()},
	} {
		if !(v.value >= 0 && v.value <= v.most) { // the negation also catches NaN
			return result.NewFieldError(result.OutOfRange, v.path, fmt.Sprint(v.value), fmt.Sprintf("0 to %v", v.most))
		}
	}
	return nil
}
