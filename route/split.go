package route

import "pistachioshore.dev/table"

// Splitter distributes the requests of each route over its targets by smooth weighted round robin, which keeps the
// shares exact even over a few requests. It is safe for concurrent use.
type Splitter struct {
	weights *table.Guarded[currentWeights]
}

// currentWeights are the current weights of the smooth weighted round robin, by route and service.
type currentWeights map[string]map[string]float64

// NewSplitter returns a splitter in its initial state.
func NewSplitter() *Splitter {
	return &Splitter{weights: table.NewGuarded(table.RankBalancer, currentWeights{})}
}

// Next returns the service for the route's next request. It returns an empty string if no target has a positive
// weight.
func (s *Splitter) Next(r *Route) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	return table.WithResult(s.weights, func(w *currentWeights) string { return w.next(r) })
}

func (w currentWeights) next(r *Route) string {
	current := w[r.Name]
	if current == nil {
		current = map[string]float64{}
		w[r.Name] = current
	}
	var total float64
	best := ""
	for _, t := range r.Targets {
		if t.Weight <= 0 {
			continue
		}
		total += t.Weight
		current[t.Service] += t.Weight
		if best == "" || current[t.Service] > current[best] {
			best = t.Service
		}
	}
	if best != "" {
		current[best] -= total
	}
	return best
}
