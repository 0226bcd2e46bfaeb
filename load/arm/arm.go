// Package arm names the policies that an experiment compares.
package arm

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"go.uber.org/fx"

	"pistachioshore.dev/balancer"
	"pistachioshore.dev/balancer/outcome"
	"pistachioshore.dev/balancer/roundrobin"
	"pistachioshore.dev/balancer/twochoices"
	"pistachioshore.dev/entry/vm"
	"pistachioshore.dev/wire"
)

// Arm is one set of policies.
type Arm struct {
	Name               string
	Description        string
	UniqueFingerprints bool // every request has a fingerprint of its own, so that no canary verdict is cached
	SkipFaults         bool // the faults of upstreams are left out, for comparison with them

	policy  func() balancer.Policy[string]
	hedge   *float64 // hedge budget of the routes that have one
	waitAll bool     // answers wait for their last shard until the deadline
	wrap    func(c vm.Chooser) vm.Chooser
}

// All returns every arm, the chosen one first.
func All() []Arm {
	none, all := 0.0, 1.0
	return []Arm{
		{Name: "chosen", Description: "observed outcomes, budgeted hedges, bounded wait"},
		{Name: "round-robin", Description: "replicas in turn, no hedges", policy: inTurn, hedge: &none},
		{Name: "round-robin-full", Description: "round-robin, waiting for the last shard until the deadline", policy: inTurn, hedge: &none, waitAll: true},
		{Name: "no-faults", Description: "chosen, without the faults of upstreams in the scenario", SkipFaults: true},
		{Name: "two-choices", Description: "lower reported load of two replicas, no hedges", policy: lowerLoad, hedge: &none},
		{Name: "no-hedge", Description: "chosen without hedges", hedge: &none},
		{Name: "hedge-unbounded", Description: "chosen with one hedge for every late shard", hedge: &all},
		{Name: "no-queue-check", Description: "chosen, hedging also where a queue is reported", wrap: withoutQueues},
		{Name: "hedge-naive", Description: "unbounded hedges, also where a queue is reported", hedge: &all, wrap: withoutQueues},
		{Name: "no-straggler-wait", Description: "chosen, waiting for the last shard until the deadline", waitAll: true},
		{Name: "no-canary-cache", Description: "chosen, with a new fingerprint for each request", UniqueFingerprints: true},
		{Name: "load-ejects", Description: "chosen, counting a refusal for load as a failure", policy: loadEjects},
	}
}

// Find returns the arm of a name.
func Find(name string) (Arm, error) {
	all := All()
	i := slices.IndexFunc(all, func(a Arm) bool { return a.Name == name })
	if i >= 0 {
		return all[i], nil
	}
	var names []string
	for _, a := range all {
		names = append(names, a.Name)
	}
	return Arm{}, errors.Newf("unknown arm %q, allowed: %s", name, strings.Join(names, ", "))
}

// VMOptions returns what replaces the policies of a VM; loads returns what an upstream reports of itself.
func (a Arm) VMOptions(loads func(server string) int) []fx.Option {
	return []fx.Option{fx.Decorate(func(vm.Policies) vm.Policies {
		policy := balancer.Policy[string](outcome.New[string]())
		if a.policy != nil {
			policy = a.policy()
		}
		c := vm.Chooser(balancer.NewChooser(reported{policy, loads}, balancer.NewLatencyEstimator(balancer.DefaultLatencySettings())))
		if a.wrap != nil {
			c = a.wrap(c)
		}
		return vm.Policies{Chooser: c}
	})}
}

// AdjustConfig changes the routes of a configuration.
func (a Arm) AdjustConfig(cfg *wire.Configuration) {
	cfg.Routes = slices.Clone(cfg.Routes) // the sample configurations share one list
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		if a.hedge != nil && r.HedgeBudget > 0 {
			r.HedgeBudget = *a.hedge
		}
		if a.waitAll {
			r.StragglerWait = cmp.Or(r.Deadline, r.StragglerWait)
		}
	}
}

func inTurn() balancer.Policy[string] { return roundrobin.New[string]() }

func lowerLoad() balancer.Policy[string] { return twochoices.New[string]() }

func loadEjects() balancer.Policy[string] { return strict{outcome.New[string]()} }

func withoutQueues(c vm.Chooser) vm.Chooser { return unqueued{c} }
