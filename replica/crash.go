package replica

import (
	"slices"
	"time"

	"pistachioshore.dev/table"
)

// crashSuspect is a request that may have crashed the upstream.
type crashSuspect struct {
	fingerprint uint64
	lostAt      time.Time
}

// CrashSuspicions counts the lost connections that may have been due to a crash, and what became of the suspicion. The
// rest of Recorded is undecided.
type CrashSuspicions struct {
	Recorded  uint64 // connections lost with a request in flight
	Confirmed uint64 // the upstream then refused a connection
	Dismissed uint64 // the upstream then answered, or accepted a connection
}

// CrashSuspicions returns the counts since the start of the process.
func (t *Table) CrashSuspicions() CrashSuspicions {
	return table.WithResult(t.state, func(st *state) CrashSuspicions { return st.suspicions })
}

// suspectCrash records a connection that was lost with a request in flight.
func (r *replica) suspectCrash(now time.Time, fingerprint uint64, n *CrashSuspicions) {
	r.crashSuspects = append(r.crashSuspects, crashSuspect{fingerprint, now})
	n.Recorded++
}

// ProbeResult is the result of a probe, which tries to open a connection to an upstream.
type ProbeResult uint8

// Results of a probe.
const (
	ProbeUndecided ProbeResult = iota // no connection was tried
	ProbeAccepted                     // the upstream accepts connections
	ProbeRefused                      // no connection could be opened
)

// StartProbe reports whether the upstream is to be probed at the given time, to find out whether it has crashed. That is
// so once a connection to it was lost with a request in flight, unless a probe is due already or the upstream has asked
// for a rest. If it is so, the caller must call EndProbe.
func (t *Table) StartProbe(at time.Time, h AttemptHandle) bool {
	return table.WithResult(t.state, func(*state) bool {
		r := h.replica
		due := r != nil && len(r.crashSuspects) > 0 && r.probeAt.IsZero() && !r.resting(at)
		if due {
			r.probeAt = at
		}
		return due
	})
}

// EndProbe records the result of a probe. If the upstream has crashed, it returns the fingerprints of the requests that
// may have caused the crash.
func (t *Table) EndProbe(now time.Time, h AttemptHandle, res ProbeResult) []uint64 {
	return table.WithResult(t.state, func(st *state) []uint64 {
		r := h.replica
		probedAt := r.probeAt
		r.probeAt = time.Time{}
		switch res {
		case ProbeRefused:
			return r.takeCrashSuspects(now, &st.suspicions)
		case ProbeAccepted:
			r.dismissCrashSuspects(probedAt, &st.suspicions)
		}
		return nil
	})
}

// dismissCrashSuspects clears the suspects from before the given time, because the upstream has responded since.
func (r *replica) dismissCrashSuspects(before time.Time, n *CrashSuspicions) {
	all := len(r.crashSuspects)
	r.crashSuspects = slices.DeleteFunc(r.crashSuspects, func(s crashSuspect) bool { return s.lostAt.Before(before) })
	n.Dismissed += uint64(all - len(r.crashSuspects))
}

// takeCrashSuspects returns and clears the fingerprints of the requests that may have crashed the upstream.
func (r *replica) takeCrashSuspects(now time.Time, n *CrashSuspicions) []uint64 {
	var list []uint64
	for _, s := range r.crashSuspects {
		if now.Sub(s.lostAt) <= crashWindow {
			list = append(list, s.fingerprint)
		}
	}
	r.crashSuspects = nil
	n.Confirmed += uint64(len(list))
	return list
}
