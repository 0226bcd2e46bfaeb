package replica

import (
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
	Dismissed uint64 // the upstream then answered
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

// dismissCrashSuspects clears the suspects, because the upstream has answered.
func (r *replica) dismissCrashSuspects(n *CrashSuspicions) {
	n.Dismissed += uint64(len(r.crashSuspects))
	r.crashSuspects = nil
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
