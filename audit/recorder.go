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

// Query records a look-up after its end.
func (r *Recorder) Query(q Query) {
	r.state.With(func(h *History) { h.Queries = append(h.Queries, q) })
}

// Order records one try at an order after its end.
func (r *Recorder) Order(o Order) {
	r.state.With(func(h *History) { h.Orders = append(h.Orders, o) })
}

// Sighting records a revision that a VM showed.
func (r *Recorder) Sighting(s Sighting) {
	r.state.With(func(h *History) { h.Sightings = append(h.Sightings, s) })
}

// Outage records a time without new work.
func (r *Recorder) Outage(o Outage) {
	r.state.With(func(h *History) { h.Outages = append(h.Outages, o) })
}

// Publication records a published configuration.
func (r *Recorder) Publication(p Publication) {
	r.state.With(func(h *History) { h.Publications = append(h.Publications, p) })
}

// Stop records a planned stop.
func (r *Recorder) Stop(s Stop) {
	r.state.With(func(h *History) { h.Stops = append(h.Stops, s) })
}

// History returns a copy of what was recorded, with the counts of the upstreams.
func (r *Recorder) History(upstreams []Upstream) History {
	return table.WithResult(r.state, func(h *History) History {
		c := *h
		c.Queries = slices.Clone(h.Queries)
		c.Orders = slices.Clone(h.Orders)
		c.Sightings = slices.Clone(h.Sightings)
		c.Outages = slices.Clone(h.Outages)
		c.Publications = slices.Clone(h.Publications)
		c.Stops = slices.Clone(h.Stops)
		c.Upstreams = upstreams
		return c
	})
}
