package platform

import (
	"time"

	"pistachioshore.dev/codec"
	"pistachioshore.dev/result"
	"pistachioshore.dev/wire"
)

// Outage is how the platform fails to answer.
type Outage string

// Outages of the platform.
const (
	NoOutage          Outage = ""
	OutageClose       Outage = "close"       // closes connections without a response
	OutageUnavailable Outage = "unavailable" // answers 503
)

// Largest durations of the faults.
const (
	maxDelay   = 10 * time.Second
	maxListLag = 5 * time.Minute
)

// Faults are the faults that the platform shows; the zero value means none.
type Faults struct {
	Outage     Outage
	StaleTag   int           // tag of the version that is returned instead of the newest; no fault if zero
	Delay      time.Duration // added to each response, at most 10 s
	ListLag    time.Duration // age of the list of VMs, at most 5 min
	ListFrozen bool          // the list of VMs stays as readers see it now
}

// FaultsFromWire converts faults from their wire form; an error names the invalid field and its allowed range.
func FaultsFromWire(w wire.PlatformFaults) (Faults, error) {
	f := Faults{Outage: Outage(w.Down), StaleTag: w.StaleTag, ListFrozen: w.ListFrozen}
	var err error
	if f.Delay, err = parseOptionalDuration("delay", w.Delay, maxDelay); err != nil {
		return f, err
	}
	f.ListLag, err = parseOptionalDuration("list-lag", w.ListLag, maxListLag)
	return f, err
}

func parseOptionalDuration(path, value string, maximum time.Duration) (time.Duration, error) {
	if value == "" {
		return 0, nil
	}
	return codec.ParseDuration(path, value, 0, maximum)
}

// validate returns an error for the first value that is out of range.
func (f Faults) validate(newestTag int) error {
	if f.Outage != NoOutage && f.Outage != OutageClose && f.Outage != OutageUnavailable {
		return result.NewFieldError(result.OutOfRange, "down", string(f.Outage), "close or unavailable")
	}
	if f.StaleTag < 0 || f.StaleTag > newestTag {
		return newRangeError("stale-tag", f.StaleTag, 0, newestTag)
	}
	if f.Delay < 0 || f.Delay > maxDelay {
		return result.NewFieldError(result.OutOfRange, "delay", f.Delay.String(), "0s to "+maxDelay.String())
	}
	if f.ListLag < 0 || f.ListLag > maxListLag {
		return result.NewFieldError(result.OutOfRange, "list-lag", f.ListLag.String(), "0s to "+maxListLag.String())
	}
	return nil
}
