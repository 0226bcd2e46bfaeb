package route

import "pistachioshore.dev/table"

// Splitter deals the requests of routes to their targets by smooth weighted round robin, so that the
// shares are exact over any span of requests; it is safe for concurrent use.
type Splitter struct {
	credit *table.Guarded[credits]
}

// credits are what the services of each route are owed, in weights.
type credits map[string]map[string]float64

// NewSplitter returns a splitter that has dealt nothing.
func NewSplitter() *Splitter {
	return &Splitter{credit: table.NewGuarded(table.RankBalancer, credits{})}
}

// Next returns the service that the route's next request goes to; it is empty if no target has a
// weight above 0.
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
