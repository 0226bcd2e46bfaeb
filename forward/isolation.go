package forward

import (
	"time"

	"pistachioshore.dev/event"
	"pistachioshore.dev/route"
)

// healthCheckInterval is the minimum time between health checks of unreachable zones.
const healthCheckInterval = 500 * time.Millisecond

// Isolated reports whether some route cannot be served from this VM because it cannot reach other zones.
// An isolated VM leaves the load balancer's rotation, so that clients reach a zone that can serve them. Isolated
// also logs changes of the result and starts health checks of the unreachable zones.
func (vm *VM) Isolated(now time.Time) bool {
	unreachable := vm.replicas.UnreachableZones(now)
	cfg := vm.routes.Current()
	isolated := false
	if len(unreachable) > 0 && cfg != nil {
		for i := range cfg.Routes {
			if !vm.canServe(now, &cfg.Routes[i]) && vm.hasReplicas(&cfg.Routes[i]) {
				isolated = true
				break
			}
		}
	}
	vm.recordIsolation(isolated, len(unreachable))
	return isolated
}

// SilentZones returns the zones of which no upstream answers this VM, for the VMs whose queries it fans out.
func (vm *VM) SilentZones(now time.Time) []string {
	return vm.replicas.SilentZones(now)
}

// SetReportedZones sets the zones of which no upstream answers the VM that fans out this VM's queries.
func (vm *VM) SetReportedZones(zones []string) {
	vm.replicas.SetReportedZones(zones)
}

// canServe reports whether enough services of the route have a usable upstream.
func (vm *VM) canServe(now time.Time, r *route.Route) bool {
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
func (vm *VM) hasReplicas(r *route.Route) bool {
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
func (vm *VM) recordIsolation(isolated bool, unreachable int) {
	now := time.Now()
	silent := vm.replicas.SilentZones(now) // other VMs check the zones that they report
	changed, checkDue := false, false
	vm.state.With(func(st *vmState) {
		changed = st.isolated != isolated
		st.isolated = isolated
		checkDue = len(silent) > 0 && now.Sub(st.healthCheckedAt) >= healthCheckInterval
		if checkDue {
			st.healthCheckedAt = now
		}
	})
	if changed {
		vm.events.Record(event.VMIsolated, event.F(event.State, isolated), event.F(event.Count, unreachable))
	}
	if !checkDue {
		return
	}
	for _, zone := range silent {
		vm.checkZone(now, zone)
	}
}

// checkZone sends a health check to one upstream of the zone.
func (vm *VM) checkZone(now time.Time, zone string) {
	target, ok := vm.replicas.ProbeTarget(now, zone)
	if !ok {
		return
	}
	path := "/"
	if cfg := vm.routes.Current(); cfg != nil && cfg.Services[target.Server.Service].HealthPath != "" {
		path = cfg.Services[target.Server.Service].HealthPath
	}
	mayBeSent := func() bool { return vm.replicas.MayBeSent(time.Now(), target) }
	vm.sender.CheckHealth(target.Server, path, mayBeSent, func(responded bool) {
		if responded {
			vm.replicas.MarkZoneReachable(zone)
		}
	})
}
