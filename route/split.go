package route

import "pistachioshore.dev/table"

// Splitter distributes the requests of each route over its targets by smooth weighted round robin, which keeps the
// shares exact even over a few requests. It is safe for concurrent use.
type Splitter struct {
	credit *table.Guarded[credits]
}

// credits are the current weights of the smooth weighted round robin, by route and service.
type credits map[string]map[string]float64

// NewSplitter returns a splitter in its initial state.
func NewSplitter() *Splitter {
	return &Splitter{credit: table.NewGuarded(table.RankBalancer, credits{})}
}

// Next returns the service for the route's next request. It returns an empty string if no target has a positive
// weight.
func (s *Splitter) Next(r *Route) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	return table.WithResult(s.credit, func(c *credits) string { return c.next(r) })
}

func (c credits) next(r *Route) string {
	owed := c[r.Name]
	if owed == nil {
		owed = map[string]float64{}
		c[r.Name] = owed
	}
	var total float64
	best := ""
	for _, t := range r.Targets {
		if t.Weight <= 0 {
			continue
		}
		total += t.Weight
		owed[t.Service] += t.Weight
		if best == "" || owed[t.Service] > owed[best] {
			best = t.Service
		}
	}
	if best != "" {
		owed[best] -= total
	}
	return best
}
