package audit

import (
	"slices"

	"pistachioshore.dev/table"
)

// rankRecorder is higher than the ranks of the stand-ins, whose counts are read before the recorder is locked.
const rankRecorder table.Rank = 300

// Recorder collects a history. It is safe for concurrent use.
type Recorder struct {
	state *table.Guarded[History]
}

// NewRecorder returns a recorder that adds to base, which holds the data known in advance, such as the catalog and
// the records.
func NewRecorder(base History) *Recorder {
	return &Recorder{state: table.NewGuarded(rankRecorder, base)}
}

// RecordQuery records a look-up that has ended.
func (r *Recorder) RecordQuery(q Query) {
	r.state.With(func(h *History) { h.Queries = append(h.Queries, q) })
}

// RecordOrder records an attempt at an order that has ended.
func (r *Recorder) RecordOrder(o Order) {
	r.state.With(func(h *History) { h.Orders = append(h.Orders, o) })
}

// RecordRevision records a configuration revision that a VM reported.
func (r *Recorder) RecordRevision(o RevisionObservation) {
	r.state.With(func(h *History) { h.RevisionObservations = append(h.RevisionObservations, o) })
}

// RecordDrain records the drain of a zone or of an upstream.
func (r *Recorder) RecordDrain(d Drain) {
	r.state.With(func(h *History) { h.Drains = append(h.Drains, d) })
}

// RecordPublication records the publication of a configuration.
func (r *Recorder) RecordPublication(p Publication) {
	r.state.With(func(h *History) { h.Publications = append(h.Publications, p) })
}

// RecordShutdown records the planned shutdown of a VM.
func (r *Recorder) RecordShutdown(s PlannedShutdown) {
	r.state.With(func(h *History) { h.PlannedShutdowns = append(h.PlannedShutdowns, s) })
}

// History returns a copy of the recorded history with the given counts of the upstreams.
func (r *Recorder) History(upstreams []UpstreamCounts) History {
	return table.WithResult(r.state, func(h *History) History {
		history := *h
		history.Queries = slices.Clone(h.Queries)
		history.Orders = slices.Clone(h.Orders)
		history.RevisionObservations = slices.Clone(h.RevisionObservations)
		history.Drains = slices.Clone(h.Drains)
		history.Publications = slices.Clone(h.Publications)
		history.PlannedShutdowns = slices.Clone(h.PlannedShutdowns)
		history.Upstreams = upstreams
		return history
	})
}
