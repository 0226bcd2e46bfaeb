package forward

import (
	"time"

	"pistachioshore.dev/event"
	"pistachioshore.dev/route"
)

// healthCheckInterval is the minimum time between health checks of unreachable zones.
const checkEvery = 500 * time.Millisecond

// Isolated reports whether some route cannot be served from this VM because it cannot reach other zones.
// An isolated VM leaves the load balancer's rotation, so that clients reach a zone that can serve them.
func (vm *VM) Isolated(now time.Time) bool {
	cut := vm.replicas.UnreachableZones(now)
	cfg := vm.routes.Current()
	isolated := false
	if len(cut) > 0 && cfg != nil {
		for i := range cfg.Routes {
			if !vm.serviceable(now, &cfg.Routes[i]) && vm.known(&cfg.Routes[i]) {
				isolated = true
				break
			}
		}
	}
	vm.noteIsolation(isolated, cut)
	return isolated
}

// canServe reports whether enough services of the route have a usable upstream.
func (vm *VM) serviceable(now time.Time, r *route.Route) bool {
	if !r.Sharded() {
		for _, t := range r.Targets {
			if len(vm.replicas.Candidates(now, t.Service, r.Regions, false)) > 0 {
				return true
			}
		}
		return false
	}
	reachable := 0
	for _, s := range r.Shards {
		if len(vm.replicas.Candidates(now, s, r.Regions, false)) > 0 {
			reachable++
		}
	}
	return float64(reachable) >= r.MinCoverage*float64(len(r.Shards))
}

// hasReplicas reports whether every service of the route has a replica in any zone.
func (vm *VM) known(r *route.Route) bool {
	for _, s := range r.Shards {
		if !vm.replicas.HasReplicas(s) {
			return false
		}
	}
	for _, t := range r.Targets {
		if !vm.replicas.HasReplicas(t.Service) {
			return false
		}
	}
	return true
}

// recordIsolation records a change of the isolation state and starts health checks of unreachable zones.
func (vm *VM) noteIsolation(isolated bool, cut []string) {
	now := time.Now()
	changed, check := false, false
	vm.load.With(func(l *inFlight) {
		changed = l.isolated != isolated
		l.isolated = isolated
		check = len(cut) > 0 && now.Sub(l.checked) >= checkEvery
		if check {
			l.checked = now
		}
	})
	if changed {
		vm.events.Record(event.VMIsolated, event.F(event.State, isolated), event.F(event.Count, len(cut)))
	}
	if !check {
		return
	}
	for _, zone := range cut {
		vm.check(now, zone)
	}
}

// checkZone sends a health check to one upstream of the zone.
func (vm *VM) check(now time.Time, zone string) {
	k, ok := vm.replicas.ProbeTarget(now, zone)
	if !ok {
		return
	}
	path := "/"
	if cfg := vm.routes.Current(); cfg != nil && cfg.Services[k.Server.Service].HealthPath != "" {
		path = cfg.Services[k.Server.Service].HealthPath
	}
	vm.sender.CheckHealth(k.Server, path, func(answered bool) {
		if answered {
			vm.replicas.MarkZoneReachable(zone)
		}
	})
}
