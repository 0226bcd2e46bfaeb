package audit

import (
	"slices"

	"pistachioshore.dev/table"
)

// rankRecorder is above the ranks of the stand-ins, whose counts are read before the recorder is locked.
const rankRecorder table.Rank = 300

// Recorder collects a history from several callers at a time.
type Recorder struct {
	state *table.Guarded[History]
}

// NewRecorder returns a recorder; base holds what is known beforehand, such as the catalogue and the records.
func NewRecorder(base History) *Recorder {
	return &Recorder{state: table.NewGuarded(rankRecorder, base)}
}

// RecordQuery records a look-up after its end.
func (r *Recorder) RecordQuery(q Query) {
	r.state.With(func(h *History) { h.Queries = append(h.Queries, q) })
}

// RecordOrder records one try at an order after its end.
func (r *Recorder) RecordOrder(o Order) {
	r.state.With(func(h *History) { h.Orders = append(h.Orders, o) })
}

// RecordRevision records a revision that a VM showed.
func (r *Recorder) RecordRevision(s RevisionObservation) {
	r.state.With(func(h *History) { h.RevisionObservations = append(h.RevisionObservations, s) })
}

// RecordDrain records a time without new work.
func (r *Recorder) RecordDrain(o Drain) {
	r.state.With(func(h *History) { h.Drains = append(h.Drains, o) })
}

// RecordPublication records a published configuration.
func (r *Recorder) RecordPublication(p Publication) {
	r.state.With(func(h *History) { h.Publications = append(h.Publications, p) })
}

// RecordShutdown records a planned stop.
func (r *Recorder) RecordShutdown(s PlannedShutdown) {
	r.state.With(func(h *History) { h.PlannedShutdowns = append(h.PlannedShutdowns, s) })
}

// History returns a copy of what was recorded, with the counts of the upstreams.
func (r *Recorder) History(upstreams []UpstreamCounts) History {
	return table.WithResult(r.state, func(h *History) History {
		c := *h
		c.Queries = slices.Clone(h.Queries)
		c.Orders = slices.Clone(h.Orders)
		c.RevisionObservations = slices.Clone(h.RevisionObservations)
		c.Drains = slices.Clone(h.Drains)
		c.Publications = slices.Clone(h.Publications)
		c.PlannedShutdowns = slices.Clone(h.PlannedShutdowns)
		c.Upstreams = upstreams
		return c
	})
}
