package vm

import (
	"fmt"
	"time"

	"pistachioshore.dev/budget"
	"pistachioshore.dev/wire"
)

// Status returns the VM's view of itself, its peers and the upstreams that it owns.
func (vm *VM) Status() wire.Status {
	now := vm.now()
	s := wire.Status{
		Address: vm.settings.Address.String(), Zone: vm.settings.Zone, Incarnation: vm.settings.Incarnation,
		Ready: vm.Ready(), Phase: vm.shutdown.Phase().String(), InFlight: vm.admission.InFlight(),
		Permits: vm.permits.Counts().Held, Quarantined: vm.quarantine.Counts().Quarantined,
		ZonesOut: []string{}, Peers: []wire.PeerStatus{}, Upstreams: []wire.UpstreamStatus{}, Budgets: []wire.BudgetStatus{},
	}
	if cfg := vm.catalog.Current(); cfg != nil {
		s.Revision, s.Digest, s.Snapshot = cfg.Revision, fmt.Sprintf("%016x", cfg.Digest), cfg.CurrentSnapshot
		s.ConfigAge = vm.catalog.Age(now).Round(time.Millisecond).String()
		for _, z := range cfg.Zones {
			if z.Drained {
				s.ZonesOut = append(s.ZonesOut, z.Name)
			}
		}
	}
	for _, p := range vm.fleet.Peers(now) {
		s.Peers = append(s.Peers, wire.PeerStatus{
			Address: p.Address.String(), Zone: p.Zone, State: p.State.String(), Age: p.SinceHeard.Round(time.Millisecond).String(), Incarnation: p.Incarnation,
		})
	}
	for _, u := range vm.upstreams.Statuses(now) {
		s.Upstreams = append(s.Upstreams, wire.UpstreamStatus{
			Upstream: u.Name, Owned: u.Owned, Cold: !u.Warm, Limit: u.Limit, Running: u.Running, Queued: u.Queued,
			Connections: u.Connections, Verified: u.VerifiedConnections, Incarnation: u.Incarnation,
		})
	}
	vm.routeBudgets.each(func(route string, a *budget.Attempts) {
		hedges, retries := a.Levels()
		s.Budgets = append(s.Budgets, wire.BudgetStatus{Route: route, Hedges: hedges, Retries: retries})
	})
	return s
}
