package quarantine

import (
	"container/list"
	"time"

	"pistachioshore.dev/table"
)

// Table holds the state of fingerprints at one VM. It is safe for concurrent use.
type Table struct {
	state *table.Guarded[tableState]
}

// New returns an empty table.
func New(s Settings) *Table {
	s.CrashThreshold = max(s.CrashThreshold, 1)
	s.MaxFingerprints = max(s.MaxFingerprints, 1)
	st := tableState{
		settings:  &s,
		counts:    &Counts{},
		records:   map[uint64]*list.Element{},
		evictable: list.New(),
		retained:  list.New(),
	}
	return &Table{state: table.NewGuarded(table.RankQuarantine, st)}
}

// Decide returns the coordinator's decision for a request that must end by deadline. Without a success, at most
// Settings.CrashThreshold canary requests are in flight or have crashed; after a quarantine, at most one. A canary
// request whose report is missing 1 s after its deadline is presumed to have crashed. A quarantine based on missing
// reports lasts at most 10 s and is lifted by a late report.
func (t *Table) Decide(now time.Time, fp uint64, deadline time.Time) Decision {
	return table.WithResult(t.state, func(s *tableState) Decision {
		e := s.getOrCreate(now, fp)
		if e == nil {
			s.counts.Full++
			return Decision{Wait, now.Add(fullTableRetry)}
		}
		defer s.reinsert(e)
		return e.decide(now, deadline)
	})
}

// Lookup returns the cached decision, which is Good or Refused, and false if the coordinator must be asked.
func (t *Table) Lookup(now time.Time, fp uint64) (Decision, bool) {
	var d Decision
	t.state.With(func(s *tableState) {
		if el, ok := s.records[fp]; ok {
			e := s.refresh(now, el)
			d = e.currentDecision(now)
			s.reinsert(e)
		}
	})
	if d.Verdict == Good || d.Verdict == Refused {
		return d, true
	}
	return Decision{}, false
}

// Report records at the coordinator the outcome of a run at an upstream. It returns the new decision, which the
// coordinator sends to the other VMs: Good, Refused, or Wait until now, which means that they must ask again.
func (t *Table) Report(now time.Time, fp uint64, o Outcome, upstream string) Decision {
	return table.WithResult(t.state, func(s *tableState) Decision {
		e := s.getOrCreate(now, fp)
		if e == nil {
			return Decision{Wait, now.Add(fullTableRetry)}
		}
		defer s.reinsert(e)
		switch o {
		case Succeeded:
			e.recordSuccess(now)
		case Crashed:
			e.recordCrash(now, upstream)
		case NotRun:
			e.recordNotRun(now)
		}
		return e.currentDecision(now)
	})
}

// ApplyDecision stores a decision of the coordinator at another VM.
func (t *Table) ApplyDecision(now time.Time, fp uint64, d Decision) {
	t.state.With(func(s *tableState) {
		if e := s.getOrCreate(now, fp); e != nil {
			e.applyDecision(now, d)
			s.reinsert(e)
		}
	})
}

// Exhausted returns the last deadline of the canary requests that this table has allowed, if it allows no further one until
// they are reported. The other VMs must then allow none either, which they learn with Hold.
func (t *Table) Exhausted(now time.Time, fp uint64) (time.Time, bool) {
	return table.WithResults(t.state, func(s *tableState) (time.Time, bool) {
		el, ok := s.records[fp]
		if !ok {
			return time.Time{}, false
		}
		e := s.refresh(now, el)
		if !e.exhausted() {
			return time.Time{}, false
		}
		return e.canaries[len(e.canaries)-1].deadline, true
	})
}

// Hold allows no canary request until the last one of another coordinator, which ends by deadline, must have been reported.
// A request whose coordinator replies late asks another one, which would otherwise allow one too many.
func (t *Table) Hold(now time.Time, fp uint64, deadline time.Time) {
	t.state.With(func(s *tableState) {
		if e := s.getOrCreate(now, fp); e != nil {
			e.heldUntil = later(e.heldUntil, earlier(deadline, now.Add(maxCanaryDuration)).Add(reportMargin))
			s.reinsert(e)
		}
	})
}

// Counts returns the table's counts. It takes time linear in the number of fingerprints.
func (t *Table) Counts() Counts {
	return table.WithResult(t.state, func(s *tableState) Counts {
		c := *s.counts
		for _, el := range s.records {
			switch el.Value.(*entry).currentDecision(s.latest).Verdict {
			case Good:
				c.Good++
			case Refused:
				c.Quarantined++
			}
		}
		return c
	})
}
