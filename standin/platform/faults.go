package platform

import (
	"time"

	"pistachioshore.dev/codec"
	"pistachioshore.dev/result"
	"pistachioshore.dev/wire"
)

// Outage says how the platform fails to answer.
type Outage string

// The ways of not answering.
const (
	NoOutage          Outage = ""
	OutageClose       Outage = "close"       // connections end without a response
	OutageUnavailable Outage = "unavailable" // status 503
)

// Bounds of the times that can be set.
const (
	maxDelay   = 10 * time.Second
	maxListLag = 5 * time.Minute
)

// Faults are what is wrong with the platform now; the zero value means nothing.
type Faults struct {
	Outage     Outage
	StaleTag   int           // version that is answered whatever the newest is; none if zero
	Delay      time.Duration // added to each answer, at most 10 s
	ListLag    time.Duration // age of the list of VMs, at most 5 min
	ListFrozen bool          // the list stays as it is seen now
}

// FaultsFromWire converts received faults; an error names the faulty field and the allowed range.
func FaultsFromWire(w wire.PlatformFaults) (Faults, error) {
	f := Faults{Outage: Outage(w.Down), StaleTag: w.StaleTag, ListFrozen: w.ListFrozen}
	var err error
	if f.Delay, err = optional("delay", w.Delay, maxDelay); err != nil {
		return f, err
	}
	f.ListLag, err = optional("list-lag", w.ListLag, maxListLag)
	return f, err
}

func optional(path, value string, most time.Duration) (time.Duration, error) {
	if value == "" {
		return 0, nil
	}
	return codec.ParseDuration(path, value, 0, most)
}

// check returns an error for the first value that is out of range.
func (f Faults) check(newestTag int) error {
	if f.Outage != NoOutage && f.Outage != OutageClose && f.Outage != OutageUnavailable {
		return result.NewFieldError(result.OutOfRange, "down", string(f.Outage), "close or unavailable")
	}
	if f.StaleTag < 0 || f.StaleTag > newestTag {
		return outOfRange("stale-tag", f.StaleTag, 0, newestTag)
	}
	if f.Delay < 0 || f.Delay > maxDelay {
		return result.NewFieldError(result.OutOfRange, "delay", f.Delay.String(), "0s to "+maxDelay.String())
	}
	if f.ListLag < 0 || f.ListLag > maxListLag {
		return result.NewFieldError(result.OutOfRange, "list-lag", f.ListLag.String(), "0s to "+maxListLag.String())
	}
	return nil
}
