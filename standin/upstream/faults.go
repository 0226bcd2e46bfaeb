package upstream

import (
	"fmt"
	"time"

	"pistachioshore.dev/codec"
	"pistachioshore.dev/result"
	"pistachioshore.dev/wire"
)

// maxReportLag limits Faults.ReportLag; older health and load reports are not kept.
const maxReportLag = time.Minute

// maxServiceTimeFactor is the largest factor on the service time.
const maxServiceTimeFactor = 1000

// Faults are the faults that an upstream shows; the zero value means none.
type Faults struct {
	Draining            bool          // refuses new requests with 503 and reports that it drains
	MarkedDraining      bool          // still accepts requests, but counts their starts in Counts.StartsAfterDrain
	ZoneDrained         bool          // still accepts requests, but counts their starts in Counts.StartsAfterZoneOut
	ShedShare           float64       // share of requests, 0 to 1, that are refused with 503 as under overload
	CrashOnColdOverload bool          // crashes when more requests than the cold-start limit run while it is cold
	Unreachable         bool          // closes and refuses connections
	SlowFactor          float64       // factor on the service time; 1 if zero
	StragglerShare      float64       // share of requests, 0 to 1, that run longer by StragglerFactor
	StragglerFactor     float64       // factor on the service time of these requests; 1 if zero
	Poison              string        // text that crashes the upstream if a filter or key contains it
	ReportLag           time.Duration // age of the figures in health and load reports, at most 1 min
	ReportedStatus      string        // status reported instead of the true one
	ReportedLoad        *wire.Load    // load reported instead of the true one
	Snapshots           []uint64      // snapshot versions it has instead of Settings.Snapshots
}

// FaultsFromWire converts faults from their wire form; an error names the invalid field and its allowed range.
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
		{"slow", f.SlowFactor, maxServiceTimeFactor},
		{"straggler-factor", f.StragglerFactor, maxServiceTimeFactor},
		{"report-lag", f.ReportLag.Seconds(), maxReportLag.Seconds()},
	} {
		if !(v.value >= 0 && v.value <= v.most) { // the negation also catches NaN
			return result.NewFieldError(result.OutOfRange, v.path, fmt.Sprint(v.value), fmt.Sprintf("0 to %v", v.most))
		}
	}
	return nil
}
