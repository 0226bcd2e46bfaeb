package forward

import (
	"time"

	"pistachioshore.dev/replica"
)

// Placement tells where this VM would send the attempts of a request now, and why.
type Placement struct {
	Route      string
	Class      string        // of the request, see workload.Class
	Work       time.Duration // expected work of an attempt
	HedgeDelay time.Duration // 0 if the route's requests are not hedged
	Services   []ServicePlacement
}

// ServicePlacement is the part of a Placement at one service.
type ServicePlacement struct {
	Name     string
	Replicas []replica.Expectation // the most likely first
}

// ExplainPlacement returns where this VM would send the attempts of a request, if it sent them itself. It sends nothing. It
// returns false if the current configuration has no route for the host and path.
func (vm *VM) ExplainPlacement(now time.Time, host, path, method string, bodyBytes int) (Placement, bool) {
	cfg := vm.routes.Current()
	if cfg == nil {
		return Placement{}, false
	}
	r, ok := cfg.Match(host, path)
	if !ok {
		return Placement{}, false
	}
	q := &query{vm: vm, req: &Request{}, cfg: cfg, route: r, class: vm.classify(r.Name, method, bodyBytes)}
	p := Placement{Route: r.Name, Class: q.class.name, Work: q.class.work}
	if r.Idempotent {
		p.HedgeDelay = q.HedgeDelay(r.Name)
	}
	services := r.Shards
	if !r.Sharded() {
		for _, t := range r.Targets {
			services = append(services, t.Service)
		}
	}
	for _, s := range services {
		p.Services = append(p.Services, ServicePlacement{s, vm.replicas.Explain(now, s, r.Regions, r.Idempotent, q.class.work)})
	}
	return p, true
}
